package chunk

import (
	"slices"

	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/upstream/directory"
)

// maxNotices limits a response. Once the response has that many notices, the notices of further
// voters are deferred. 500 notices are 20 kB compressed, which a link of 2 Mbit/s delivers to ten
// followers within a second.
const maxNotices = 500

// Chunker limits and orders responses to the balancers of an availability zone.
type Chunker struct{ zone string }

// New returns a Chunker for followers in a zone.
func New(zone string) Chunker { return Chunker{zone: zone} }

// Fill adds the notices to the voters' updates. Voters of the follower's zone come first, since
// the upstreams of the zone announce themselves to them. Once maxNotices is reached, the
// remaining updates are reduced to the voter's name and age, so that the follower requests their
// notices with its next poll.
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

// order returns the indices of the updates. Updates from voters of the follower's zone come
// first.
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
