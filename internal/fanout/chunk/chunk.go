package chunk

import (
	"slices"

	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/upstream/directory"
)

// maxNotices is the number of notices from which a response includes no further voter's. 500 notices
// are 20 kB compressed, which a link of 2 Mbit/s delivers to ten followers within a second.
const maxNotices = 500

// Chunker limits and orders responses to the balancers of an availability zone.
type Chunker struct{ zone string }

// New returns a Chunker for followers in a zone.
func New(zone string) Chunker { return Chunker{zone: zone} }

// Fill adds the notices to the voters' states, first to voters of the follower's zone, where its
// upstreams announce themselves. Once the limit is reached, the other voters keep their age only,
// and the follower requests their notices next.
func (c Chunker) Fill(all []origins.Update, notices func(origins.Update) []directory.Notice) {
	filled := 0
	for _, i := range c.order(all) {
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
func (c Chunker) order(all []origins.Update) []int {
	order := make([]int, 0, len(all))
	for i := range all {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return c.distance(all[i]) - c.distance(all[j])
	})
	return order
}

func (c Chunker) distance(x origins.Update) int {
	if x.Zone == c.zone {
		return 0
	}
	return 1
}
