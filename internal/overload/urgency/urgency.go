package urgency

import (
	"slices"
	"time"

	"wasabideal/internal/overload/meter"
)

const (
	// demandTimeConstant is the time constant of the demand rate: long enough for a few dozen
	// flows at a balancer of a large fleet, and shorter than the load changes to react to.
	demandTimeConstant = 2 * time.Second
	// negligibleShare is the share of the demand up to which better priorities are ignored:
	// some configured routes receive only an occasional probe, or no flow at all.
	negligibleShare = 0.1
)

// demand is the rate of new flows of one priority.
type demand struct {
	priority int
	flows    *meter.Meter
}

// Urgency measures the demand for a service by priority. It is not safe for concurrent use.
//
// Urgency depends on the demand and not on the configured routes. When it depended on the routes, 46
// routes of the best priority without any flow made all other flows of a service ordinary: orders
// were rejected like the less urgent feeds.
type Urgency struct{ demands []demand }

// Record records a new flow of a priority; 0 is the best one.
func (u *Urgency) Record(now time.Time, priority int) {
	i := slices.IndexFunc(u.demands, func(d demand) bool { return d.priority == priority })
	if i < 0 {
		i = len(u.demands)
		u.demands = append(u.demands, demand{priority: priority, flows: meter.New(demandTimeConstant)})
	}
	u.demands[i].flows.Add(now, 1)
}

// Urgent reports whether the demand of better priorities is negligible.
func (u *Urgency) Urgent(now time.Time, priority int) bool {
	better, all := 0.0, 0.0
	for _, d := range u.demands {
		rate := d.flows.Rate(now)
		all += rate
		if d.priority < priority {
			better += rate
		}
	}
	return better <= negligibleShare*all
}
