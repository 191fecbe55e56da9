package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"wasabideal/internal/zoneload/occupancy"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

// flowRateTimeConstant is the time constant of the rates of new flows in load reports: long enough
// for a few dozen flows of a balancer at 100 a second.
const flowRateTimeConstant = 500 * time.Millisecond

// serviceLoad holds the load of a service by this balancer's callers.
type serviceLoad struct {
	// zones holds the load by availability zone of the upstreams, in the order of appearance.
	zones []*zoneLoad
	// inFlight is the number of pending requests that are neither overdue nor uploads.
	inFlight int
	// tier is the tier of the flow that is being decided.
	tier int
	// admitted and rejected count the new flows since the last Load; admittedRate and
	// rejectedRate are their moving averages per second as of then.
	admitted, rejected         [report.Tiers]int
	admittedRate, rejectedRate [report.Tiers]float64
	loadedAt                   time.Time
}

// zoneLoad is the load that this balancer's callers put on the upstreams of one service in one
// zone. Upstreams keep the entry with which they were created, so that what they add is also what
// they subtract.
type zoneLoad struct {
	zone     string
	occupied occupancy.Occupancy
}

// SetLoad sets the latest view of the load of all zones. An older view than the one in force is
// ignored.
func (r *Router) SetLoad(now time.Time, s snapshot.Snapshot) {
	if s.Version < r.zoneLoad.Version {
		return
	}
	r.zoneLoad = s
	r.zoneLoadUpdates++
	r.updateShares(now)
}

// Load returns the load of this balancer's callers by service, sorted by name. Services without
// load are included.
func (r *Router) Load(now time.Time) []report.Service {
	out := make([]report.Service, 0, len(r.services))
	for _, name := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[name]
		s.markOverdue(now)
		out = append(out, s.load.figures(now, name, r.meanHandshake))
	}
	return out
}

func (l *serviceLoad) figures(now time.Time, name string, transit time.Duration) report.Service {
	figures := report.Service{Name: name, Occupied: make(map[string]float64, len(l.zones))}
	for _, z := range l.zones {
		figures.Occupied[z.zone] = z.occupied.Slots(now, transit)
	}
	l.updateRates(now)
	figures.Admitted, figures.Rejected = l.admittedRate, l.rejectedRate
	return figures
}

// zone returns the load of the upstreams in a zone, creating it if necessary.
func (l *serviceLoad) zone(name string) *zoneLoad {
	for _, z := range l.zones {
		if z.zone == name {
			return z
		}
	}
	z := &zoneLoad{zone: name}
	l.zones = append(l.zones, z)
	return z
}

// noteTier records the tier of the new flow that is being decided.
func (l *serviceLoad) noteTier(urgent bool) {
	l.tier = report.Ordinary
	if urgent {
		l.tier = report.Urgent
	}
}

// noteAdmitted and noteRejected count the new flow that has been decided.
func (l *serviceLoad) noteAdmitted() { l.admitted[l.tier]++ }
func (l *serviceLoad) noteRejected() { l.rejected[l.tier]++ }

// updateRates adds the flows since the last call to the moving averages. Packets only increment
// counters, so that they cost the same whether and how often Load is called.
func (l *serviceLoad) updateRates(now time.Time) {
	seconds := now.Sub(l.loadedAt).Seconds()
	if l.loadedAt.IsZero() {
		l.loadedAt, l.admitted, l.rejected = now, [report.Tiers]int{}, [report.Tiers]int{}
		return
	}
	if seconds <= 0 {
		return
	}
	weight := 1 - math.Exp(-seconds/flowRateTimeConstant.Seconds())
	for tier := range report.Tiers {
		l.admittedRate[tier] += weight * (float64(l.admitted[tier])/seconds - l.admittedRate[tier])
		l.rejectedRate[tier] += weight * (float64(l.rejected[tier])/seconds - l.rejectedRate[tier])
	}
	l.loadedAt, l.admitted, l.rejected = now, [report.Tiers]int{}, [report.Tiers]int{}
}

// noteAnswered records the end of a pending request, before the caller subtracts it. Openings do not
// count, since upstreams accept connections without occupying a slot.
func (f *flow) noteAnswered(now time.Time) {
	if f.upload {
		return
	}
	f.target.load.occupied.Advance(now)
	f.target.load.occupied.Answered()
}

// addOccupied adds to the requests that occupy slots, unless they are uploads: these are in transit for
// most of their time, 0.3 s for 40 kB on a link of 2 Mbit/s, and would fill all slots.
func (f *flow) addOccupied(n int) {
	if !f.upload {
		f.target.load.occupied.Add(n)
		f.target.service.load.inFlight += n
	}
}
