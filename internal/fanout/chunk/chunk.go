package chunk

import (
	"slices"

	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/upstream/directory"
)

// maxNotices is the number of notices from which an answer includes no further voter's. 500 notices
// are 20 kB compressed, which a link of 2 Mbit/s delivers to ten followers within a second.
const maxNotices = 500

// Chunker limits and orders answers to the balancers of an availability zone.
type Chunker struct{ zone string }

// New returns a Portion for followers in a zone.
func New(zone string) Chunker { return Chunker{zone: zone} }

// Fill adds the notices to the voters' states, first to voters of the follower's zone, where its
// upstreams announce themselves. Once the limit is reached, the other voters keep their age only,
// and the follower requests their notices next.
func (p Chunker) Fill(all []origins.Update, notices func(origins.Update) []directory.Notice) {
	filled := 0
	for _, i := range p.order(all) {
		x := &all[i]
		switch {
		case x.Life == 0:
		case filled >= maxNotices:
			*x = x.ContactOnly()
		default:
			x.Notices = notices(*x)
			filled += len(x.Notices)
		}
	}
}

// order returns the indices of the voters' states, the given zone first.
func (p Chunker) order(all []origins.Update) []int {
	order := make([]int, 0, len(all))
	for i := range all {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return p.distance(all[i]) - p.distance(all[j])
	})
	return order
}

func (p Chunker) distance(x origins.Update) int {
	if x.Zone == p.zone {
		return 0
	}
	return 1
}
