package zoneshare

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// sendAbove is the use of a zone's slots above which the zone sends new flows to others. Up
	// to this use, an upstream of two slots answers within 1.5 times its work.
	sendAbove = 0.7
	// sendBulkAbove is sendAbove for downloads and uploads. They load the links between zones, so
	// they leave only if the zone's slots do not suffice.
	sendBulkAbove = 1.0
	// receiveBelow is the use up to which a zone receives flows of others. The difference to
	// sendAbove leaves the zone's own callers a tenth of the slots.
	receiveBelow = 0.6
	// openFlowGain is the additional share of new flows that leave, for each unit by which the
	// use of the zone's own slots exceeds the threshold, relative to the threshold. Requests on
	// open flows cannot leave. With a gain of 1 or more, the delay of the view would lead to
	// oscillation.
	openFlowGain = 0.5
	// timeConstant is that of changes of shares: two views of 250 ms. The load must be able to
	// follow the shares before they change further. Otherwise all zones would send to the zone
	// that looked empty until the view shows what they sent.
	timeConstant = 500 * time.Millisecond
	// maxStep limits the change by one update if the previous one was late. maxPause is the time
	// without an update after which the shares start from 0, as after a start.
	maxStep  = 200 * time.Millisecond
	maxPause = time.Second
	// endShare is the total share below which flows stop leaving once none needs to. Shares decay
	// exponentially. With this limit, a zone that sent all of its new flows keeps all of them 1.2 s
	// after a view shows no need, so within 1.5 s of the end of a burst.
	endShare = 0.1
	// maxSlots bounds all figures, so that sums and quotients of them stay finite.
	maxSlots = 1e12
)

// Class distinguishes the flows that leave a zone at different use of its slots.
type Class int

const (
	// Short flows carry short requests.
	Short Class = iota
	// Bulk flows carry downloads or uploads.
	Bulk
	classes
)

// Zone is the load and the capacity of one service in one availability zone.
type Zone struct {
	Name string
	// Demand is the number of slots that the zone's callers occupy in all zones. Local is the
	// number of these in their own zone.
	Demand, Local float64
	// Slots is the number of slots of the zone's upstreams that may get new flows, 0 if there are
	// none.
	Slots float64
}

// MaySend reports whether the zone uses so many of its slots that flows may have to leave it. If not,
// and if no flows leave it now, Update changes nothing.
func (z Zone) MaySend() bool { return bounded(z.Demand) > sendAbove*bounded(z.Slots) }

// share is the share of new flows for one other zone.
type share struct {
	zone string
	now  [classes]float64
	// free is the number of slots that the zone has for flows of other zones.
	free float64
}

// Shares holds the shares of one service's new flows that leave the balancer's own zone. The zero
// value holds none.
type Shares struct {
	updated time.Time
	// zones is sorted by name. previous is the slice of the update before, for reuse.
	zones, previous []share
	total           [classes]float64
}

// Empty reports whether no flow leaves the zone.
func (s *Shares) Empty() bool { return s.total == [classes]float64{} }

// Reset sets all shares to 0 at once.
func (s *Shares) Reset() {
	s.zones = s.zones[:0]
	s.total = [classes]float64{}
}

// Update changes the shares towards those that the present load requires. The zones are those whose
// load is known and recent, sorted by name without duplicates. A zone that is missing or has no
// slots gets no flows from now on. Without the own zone, all shares are 0 from now on.
func (s *Shares) Update(now time.Time, own string, zones []Zone) {
	index, known := slices.BinarySearchFunc(zones, own, func(z Zone, name string) int { return strings.Compare(z.Name, name) })
	if !known {
		s.Reset()
		return
	}
	step := max(now.Sub(s.updated), 0)
	if step > maxPause {
		s.Reset()
		step = 0
	}
	s.updated = now
	weight := 1 - math.Exp(-min(step, maxStep).Seconds()/timeConstant.Seconds())
	level := usedLevel(zones)
	free := s.setReceivers(level, own, zones)
	for c := range classes {
		s.follow(c, weight, leavingShare(c, level, zones[index]), free)
	}
}

// usedLevel returns the use of all slots by all callers.
func usedLevel(zones []Zone) float64 {
	demand, slots := 0.0, 0.0
	for _, z := range zones {
		demand += bounded(z.Demand)
		slots += bounded(z.Slots)
	}
	if slots == 0 {
		return 0
	}
	return demand / slots
}

// setReceivers replaces the list of other zones that have slots. Zones that were in the list keep
// their shares. It returns the free slots of all of them.
func (s *Shares) setReceivers(level float64, own string, zones []Zone) float64 {
	s.zones, s.previous = s.previous[:0], s.zones
	old, total := s.previous, 0.0
	for _, z := range zones {
		slots := bounded(z.Slots)
		if z.Name == own || slots == 0 {
			continue
		}
		x := share{zone: z.Name, free: max(0, max(receiveBelow, level)*slots-bounded(z.Demand))}
		for len(old) > 0 && old[0].zone < z.Name {
			old = old[1:]
		}
		if len(old) > 0 && old[0].zone == z.Name {
			x.now = old[0].now
		}
		total += x.free
		s.zones = append(s.zones, x)
	}
	return total
}

// leavingShare returns the share of a class's new flows that should leave their zone.
func leavingShare(c Class, level float64, own Zone) float64 {
	above := sendAbove
	if c == Bulk {
		above = sendBulkAbove
	}
	// The conversion rounds the product. A fused multiply-subtract would find an excess of some
	// 1e-17 where the demand is exactly at the threshold.
	threshold := float64(max(above, level) * bounded(own.Slots))
	demand := bounded(own.Demand)
	excess := demand - threshold
	switch {
	case excess <= 0:
		return 0
	case threshold == 0:
		return 1
	}
	return min(1, excess/demand+openFlowGain*max(0, bounded(own.Local)-threshold)/threshold)
}

// follow changes the shares of a class towards the required one, split by free slots.
func (s *Shares) follow(c Class, weight, leaving, free float64) {
	if free == 0 {
		leaving = 0
	}
	total := 0.0
	for i := range s.zones {
		x := &s.zones[i]
		required := 0.0
		if leaving > 0 {
			required = leaving * x.free / free
		}
		x.now[c] += weight * (required - x.now[c])
		total += x.now[c]
	}
	if leaving == 0 && total < endShare {
		total = 0
		for i := range s.zones {
			s.zones[i].now[c] = 0
		}
	}
	s.total[c] = total
}

// Choose returns the zone to which a new flow goes, and false if it stays in its own zone. The
// result depends only on the hash and the shares.
func (s *Shares) Choose(c Class, hash uint64) (string, bool) {
	if s.total[c] == 0 {
		return "", false
	}
	x := fraction(hash)
	for i := range s.zones {
		z := &s.zones[i]
		if x -= z.now[c]; x < 0 {
			return z.zone, true
		}
	}
	return "", false
}

// Share returns the share of a class's new flows that go to another zone.
func (s *Shares) Share(c Class, zone string) float64 {
	for _, x := range s.zones {
		if x.zone == zone {
			return x.now[c]
		}
	}
	return 0
}

// Leaving returns the share of a class's new flows that leave the zone.
func (s *Shares) Leaving(c Class) float64 { return s.total[c] }

// fraction maps a hash to [0, 1). The hash also selects the backend of a split route and the flows
// that admission control rejects. Without the finalizer of SplitMix64, the flows of some backends
// would leave their zone more often than those of others.
func fraction(hash uint64) float64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	hash ^= hash >> 31
	return float64(hash>>11) / (1 << 53)
}

// bounded returns a figure between 0 and maxSlots; what is not a number becomes 0.
func bounded(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, maxSlots)
}
