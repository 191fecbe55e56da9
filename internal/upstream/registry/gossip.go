package registry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/upstream"
)

// wireUpdate is the payload of one gossip message.
type wireUpdate struct {
	_        struct{} `cbor:",toarray"`
	Changes  []upstream.Upstream
	Renewals []wireRenewal
}

// wireRenewal renews the lease of an announcement that the receiver knows in full.
type wireRenewal struct {
	_           struct{} `cbor:",toarray"`
	Address     netip.AddrPort
	Incarnation uint64
	Sequence    uint64
}

const (
	// fixedSize is the encoded size of a full announcement without its strings.
	fixedSize = 34
	// renewalSize is the encoded size of a renewal, rounded up.
	renewalSize = 24
	// rotationPerMessage is how many old announcements a message repeats, so that announcements
	// lost earlier are eventually received.
	rotationPerMessage = 1
)

func encodedSize(u upstream.Upstream) int {
	return fixedSize + len(u.Service) + len(u.Zone) + len(u.Door)
}

// Payload returns a gossip payload of at most budget bytes. Changes come first, the least often
// gossiped ones before the others, then renewals. If there is no change and space is left, an old
// announcement is repeated in rotation.
func (r *Registry) Payload(_ time.Time, budget int) []byte {
	entries := r.sorted()
	if len(entries) == 0 {
		return nil
	}
	var update wireUpdate
	update.Changes, budget = r.selectChanges(entries, budget)
	update.Renewals, budget = r.selectRenewals(entries, budget)
	for range rotationPerMessage {
		r.rotation = (r.rotation + 1) % len(entries)
		if e := entries[r.rotation]; encodedSize(e.Upstream) <= budget && len(update.Changes) == 0 {
			update.Changes = append(update.Changes, e.Upstream)
		}
	}
	b, _ := cbor.Marshal(update)
	return b
}

func (r *Registry) selectChanges(entries []*entry, budget int) ([]upstream.Upstream, int) {
	changed := slices.DeleteFunc(slices.Clone(entries), func(e *entry) bool { return e.gossiped >= changeTransmissions })
	slices.SortStableFunc(changed, func(a, b *entry) int { return cmp.Compare(a.gossiped, b.gossiped) })
	var changes []upstream.Upstream
	for _, e := range changed {
		size := encodedSize(e.Upstream)
		if size > budget {
			break
		}
		budget -= size
		e.gossiped++
		changes = append(changes, e.Upstream)
	}
	return changes, budget
}

func (r *Registry) selectRenewals(entries []*entry, budget int) ([]wireRenewal, int) {
	var renewals []wireRenewal
	for _, e := range entries {
		if e.renewalGossiped >= renewalTransmissions || e.gossiped < changeTransmissions {
			continue
		}
		if budget < renewalSize {
			break
		}
		budget -= renewalSize
		e.renewalGossiped++
		renewals = append(renewals, wireRenewal{Address: e.Address, Incarnation: e.Incarnation, Sequence: e.Sequence})
	}
	return renewals, budget
}

// HandlePayload merges the gossip payload of another balancer. The announcements in the payload need
// no service token, since the group token authenticates gossip.
func (r *Registry) HandlePayload(now time.Time, _ swim.Member, data []byte) {
	var update wireUpdate
	if len(data) == 0 || cbor.Unmarshal(data, &update) != nil {
		return
	}
	for _, u := range update.Changes {
		if u.Address.Addr().Is4() {
			r.merge(now, u)
		}
	}
	for _, renewal := range update.Renewals {
		e := r.entries[renewal.Address]
		if e != nil && e.Incarnation == renewal.Incarnation && e.Sequence < renewal.Sequence && e.State != upstream.Withdrawn {
			r.renew(now, e, renewal.Sequence)
		}
	}
}
