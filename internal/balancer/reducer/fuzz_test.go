package reducer_test

import (
	"testing"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/seal"
	"wasabideal/internal/member/swim"
)

// FuzzPeer feeds datagrams from a member: gossip signed with the right token, relayed
// packets, batches of replicas and arbitrary bytes.
func FuzzPeer(f *testing.F) {
	f.Add([]byte{swim.Kind, 0x87})
	f.Add([]byte{1, 1, 1, 0, 0})
	f.Add([]byte{router.BatchKind, 0, 0, 0, 1})
	f.Add([]byte{router.BatchAckKind, 0, 0, 0, 1})
	s := suezFleet(31)
	n, from := s.nodes["b000"], s.nodes["b001"].peer
	signer := seal.New("group", "")
	f.Fuzz(func(_ *testing.T, b []byte) {
		var out effect.List
		if len(b) > 0 && b[0] == swim.Kind {
			b = signer.Sign(append([]byte(nil), b...))
		}
		_ = n.reducer.Reduce(s.now, event.Event{Kind: event.PeerDatagram, From: from, Data: b}, &out)
	})
}
