package portion

import (
	"slices"

	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/upstream/directory"
)

// most is the number of notices from which an answer takes no further voter's: 500 are 20 kB
// compressed, which ten followers get within a second from a link of 2 Mbit/s.
const maxNotices = 500

// Portion is the size and order of answers to the balancers of an availability zone.
type Portion struct{ zone string }

// New returns the portion for followers in a zone.
func New(zone string) Portion { return Portion{zone: zone} }

// Fill adds their notices to voters' reports, first to those of the follower's zone, where
// upstreams of that zone announce themselves. Voters for whose notices there is no room left
// keep their age only, and the follower asks for them next.
func (p Portion) Fill(all []origins.Origin, notices func(origins.Origin) []directory.Notice) {
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

// order returns the indices of the voters' reports, those from the zone first.
func (p Portion) order(all []origins.Origin) []int {
	order := make([]int, 0, len(all))
	for i := range all {
		order = append(order, i)
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return p.distance(all[i]) - p.distance(all[j])
	})
	return order
}

func (p Portion) distance(x origins.Origin) int {
	if x.Zone == p.zone {
		return 0
	}
	return 1
}
