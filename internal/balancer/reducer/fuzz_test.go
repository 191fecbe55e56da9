package reducer_test

import (
	"testing"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/seal"
	"wasabideal/internal/member/swim"
)

// FuzzPeer feeds datagrams of a member: gossip sealed with the right token,
// relays, batches of copies and anything else.
func FuzzPeer(f *testing.F) {
	f.Add([]byte{swim.Kind, 0x87})
	f.Add([]byte{1, 1, 1, 0, 0})
	f.Add([]byte{router.BatchKind, 0, 0, 0, 1})
	f.Add([]byte{router.BatchAckKind, 0, 0, 0, 1})
	s := suez(31)
	n, from := s.nodes["b000"], s.nodes["b001"].peer
	stamp := seal.New("group", "")
	f.Fuzz(func(_ *testing.T, b []byte) {
		var out effect.List
		if len(b) > 0 && b[0] == swim.Kind {
			b = stamp.Sign(append([]byte(nil), b...))
		}
		_ = n.reducer.Reduce(s.now, event.Event{Kind: event.PeerDatagram, From: from, Data: b}, &out)
	})
}
