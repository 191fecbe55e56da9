package swim

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/core/effect"
)

type messageKind uint8

const (
	kindPing messageKind = iota
	kindAck
	kindPingRequest
	kindJoin
	// kindSync carries updates and needs no response. With a Number, it also reports that the
	// member probed on behalf of the receiver has responded.
	kindSync
)

// message is the wire format of all gossip messages. Number identifies a probe; 0 means none.
// Target is the member to probe for a kindPingRequest. Digest is a hash of the sender's members.
// News are updates about members. Riders are the piggybacked payloads, one per Piggyback.
type message struct {
	_      struct{} `cbor:",toarray"`
	Kind   messageKind
	Number uint32
	From   Member
	Target netip.AddrPort
	Digest uint64
	News   []Member
	Riders [][]byte
}

const (
	// headerReserve is the space reserved for a message without piggybacked payloads.
	headerReserve = 420
	// minPayloadBytes is the space for payloads in a probe if the byte budget is exhausted.
	minPayloadBytes = 160
	membersPerSync  = 16
)

// send adds updates and piggybacked payloads to m and sends it. The byte budget limits
// the payloads.
//
// Probes are sent even if the budget is exhausted; otherwise the balancer would appear dead.
func (s *Swim) send(now time.Time, to netip.AddrPort, m message, out *effect.List) {
	m.From = s.self
	m.Digest = s.digest()
	m.News = append(m.News, s.pendingUpdates()...)
	if m.Kind == kindPing || m.Kind == kindAck || m.Kind == kindSync {
		space := min(datagramLimit-headerReserve, max(int(s.budget)-headerReserve, minPayloadBytes))
		for _, r := range s.piggybacks {
			payload := r.Payload(now, space)
			space -= len(payload)
			m.Riders = append(m.Riders, payload)
		}
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		out.Add(effect.Effect{Kind: effect.Alarm, Text: "gossip cannot be encoded: " + err.Error()})
		return
	}
	data := s.signer.Sign(append([]byte{Kind}, b...))
	s.budget -= float64(len(data) + overhead)
	s.Counters.Sent++
	s.Counters.SentBytes += uint64(len(data) + overhead)
	out.Add(effect.Effect{Kind: effect.ToPeer, To: to, Data: data})
}

// Receive processes one gossip datagram.
func (s *Swim) Receive(now time.Time, from netip.AddrPort, datagram []byte, out *effect.List) {
	m, ok := s.decode(datagram)
	if !ok || m.From.Name == s.self.Name {
		s.Counters.Refused++
		return
	}
	s.Counters.Received++
	s.Counters.ReceivedBytes += uint64(len(datagram) + overhead)
	s.merge(now, m.From)
	if p := s.peers[m.From.Name]; p != nil && m.Kind == kindAck {
		s.setRespondsDirectly(p, true)
	}
	for _, n := range m.News {
		s.merge(now, n)
	}
	for i, r := range s.piggybacks {
		if i < len(m.Riders) {
			r.HandlePayload(now, m.From, m.Riders[i])
		}
	}
	s.reply(now, from, m, out)
}

func (s *Swim) decode(datagram []byte) (message, bool) {
	var m message
	b, err := s.signer.Verify(datagram)
	if err != nil || len(b) < 1 {
		return m, false
	}
	if err := cbor.Unmarshal(b[1:], &m); err != nil {
		return m, false
	}
	valid := m.From.Name != "" && m.From.Address.Addr().Is4()
	return m, valid
}

func (s *Swim) reply(now time.Time, from netip.AddrPort, m message, out *effect.List) {
	switch m.Kind {
	case kindPing:
		a := message{Kind: kindAck, Number: m.Number}
		if m.Digest != s.digest() {
			a.News = s.nextMembers(updatesPerMessage / 2)
		}
		// Notifies a sender that is suspected or declared dead, so that it can refute this.
		if p := s.peers[m.From.Name]; p != nil && p.State != Alive {
			a.News = append(a.News, p.Member)
		}
		s.send(now, from, a, out)
	case kindAck:
		s.handleAck(now, m, out)
	case kindPingRequest:
		s.sequence++
		s.indirectProbes[s.sequence] = indirectProbe{requester: from, sequence: m.Number, sent: now}
		s.send(now, m.Target, message{Kind: kindPing, Number: s.sequence}, out)
	case kindJoin:
		for range max((len(s.peers)+membersPerSync-1)/membersPerSync, 1) {
			s.send(now, from, message{Kind: kindSync, News: s.nextMembers(membersPerSync)}, out)
		}
	case kindSync:
		if m.Number != 0 {
			delete(s.probes, m.Number)
		}
	}
}

// handleAck completes a probe. The ack of an indirect probe is forwarded to the member
// that requested the probe.
func (s *Swim) handleAck(now time.Time, m message, out *effect.List) {
	if r, ok := s.indirectProbes[m.Number]; ok {
		delete(s.indirectProbes, m.Number)
		s.send(now, r.requester, message{Kind: kindSync, Number: r.sequence, News: []Member{m.From}}, out)
		return
	}
	delete(s.probes, m.Number)
}
