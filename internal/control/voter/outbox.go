package voter

import (
	"context"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/wire/rpc"
)

const (
	// outboxSize bounds the messages queued for one voter. Further messages are dropped.
	// As after a loss in the network, their content is sent again with a later heartbeat.
	outboxSize  = 64
	sendTimeout = time.Second
)

// outbox queues messages to one address and keeps their order.
type outbox struct{ messages chan agreement.Message }

// send queues a message for delivery; a message to this voter itself becomes an event.
func (v *Voter) send(m agreement.Message) {
	if m.To == v.settings.Agreement.Self.Id {
		v.events = append(v.events, agreement.Event{Message: &m})
		return
	}
	address := v.addressOf(m.To)
	if address == "" || v.ctx == nil {
		return
	}
	o := v.outboxes[address]
	if o == nil {
		o = &outbox{messages: make(chan agreement.Message, outboxSize)}
		v.outboxes[address] = o
		v.deliveries.Add(1)
		go v.deliver(v.ctx, address, o)
	}
	select {
	case o.messages <- m:
	default:
	}
}

// addressOf resolves a voter by id or a founder by name; it returns an empty string if neither is known.
func (v *Voter) addressOf(to string) string {
	for _, x := range v.agreement.Status(v.settings.Clock()).Voters {
		if x.Id == to || x.Name == to {
			return x.Address
		}
	}
	for _, x := range v.settings.Agreement.Founders {
		if x.Name == to {
			return x.Address
		}
	}
	if address := v.agreement.AddressOf(to); address != "" {
		return address
	}
	return v.senderAddresses[to]
}

func (v *Voter) deliver(ctx context.Context, address string, o *outbox) {
	defer v.deliveries.Done()
	c := rpc.NewClient(address, v.settings.GroupToken)
	defer c.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.messages:
			send, cancel := context.WithTimeout(ctx, sendTimeout)
			_, err := rpc.Call[agreement.Message, empty](send, c, MessageMethod, m)
			cancel()
			if err != nil {
				v.log.Trace("sending message failed", "Address", address, "Error", err)
			}
		}
	}
}
