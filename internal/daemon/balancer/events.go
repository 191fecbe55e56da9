package balancer

import (
	"net/netip"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/wire/datagram"
	"wasabideal/internal/wire/rpc"
)

func (b *Balancer) tick() {
	t := time.NewTicker(b.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			_ = b.reduce(event.Event{Kind: event.Ticked})
			b.reportBadInput()
		}
	}
}

// reportBadInput logs dropped datagrams in bulk: a line for each would let
// anyone who can send them fill the disk.
func (b *Balancer) reportBadInput() {
	b.mu.Lock()
	bad := b.reducer.BadInput()
	b.mu.Unlock()
	if bad == b.badInput {
		return
	}
	if b.limiter.log(b.settings.Clock(), b.log, "bad input dropped", &BadInputError{Datagrams: bad - b.badInput}) {
		b.badInput = bad
	}
}

// reduce applies one event and carries out its effects.
func (b *Balancer) reduce(e event.Event) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	err := b.apply(e)
	b.carryOut()
	return err
}

func (b *Balancer) apply(e event.Event) error {
	now := b.settings.Clock()
	if b.settings.Trace != nil {
		if err := b.settings.Trace.Write(now, e); err != nil {
			b.limiter.log(now, b.log, "trace stopped", err)
		}
	}
	return b.reducer.Reduce(now, e, &b.effects)
}

// carryOut does what the reducer asked for; the lock is held.
func (b *Balancer) carryOut() {
	for i := range b.effects.Effects {
		x := &b.effects.Effects[i]
		switch x.Kind {
		case effect.ToUpstream:
			b.fabric.Queue(x.To, x.Data)
		case effect.ToPeer:
			b.peer.Queue(x.To, x.Data)
		case effect.Fetch:
			b.fetch(x.To)
		case effect.Drained:
			b.once.Do(func() { close(b.drained) })
		case effect.Alarm:
			b.log.Error("alarm", "Text", x.Text)
		}
	}
	now := b.settings.Clock()
	for _, s := range []*datagram.Socket{b.fabric, b.peer} {
		if err := s.Flush(); err != nil && b.ctx != nil && b.ctx.Err() == nil {
			b.limiter.log(now, b.log, "datagrams lost", err)
		}
	}
	b.effects.Reset()
}

// fetch asks a peer that has a newer configuration, one question at a time.
func (b *Balancer) fetch(from netip.AddrPort) {
	if b.ctx == nil || !b.fetching.CompareAndSwap(false, true) {
		return
	}
	b.goRun(func() {
		defer b.fetching.Store(false)
		c := rpc.NewClient(from.String(), b.settings.GroupToken)
		defer c.Close()
		_ = b.puller.Ask(b.ctx, c, 0)
	})
}

// read takes datagrams in batches and reduces each batch under one lock.
func (b *Balancer) read(s *datagram.Socket, kind event.Kind) {
	for {
		n, err := s.Read()
		if err != nil {
			return
		}
		b.mu.Lock()
		for i := range n {
			from, data := s.Datagram(i)
			_ = b.apply(event.Event{Kind: kind, From: from, Data: data})
		}
		b.carryOut()
		b.mu.Unlock()
	}
}
