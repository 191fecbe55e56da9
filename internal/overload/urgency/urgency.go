package urgency

import (
	"slices"
	"time"

	"wasabideal/internal/overload/meter"
)

const (
	// demandFor is the time constant with which demand is followed: some dozen flows at a
	// balancer of a large fleet, and shorter than the change of load that it is needed in.
	demandFor = 2 * time.Second
	// fewShare is the part of the demand below which better priorities are left out:
	// operators configure routes that get a probe now and then, or nothing.
	fewShare = 0.1
)

// demand is the rate of flows of one priority.
type demand struct {
	priority int
	flows    *meter.Meter
}

// Urgency is the demand for a service by priority; one goroutine owns it.
//
// A route is urgent by what callers ask for, not by what is configured: beside 46 routes of
// the best priority that got no flow, the orders of a service counted as ordinary, and were
// refused like its feeds.
type Urgency struct{ demands []demand }

// Note notes that a flow of a priority is asked for; 0 is the best one.
func (u *Urgency) Note(now time.Time, priority int) {
	i := slices.IndexFunc(u.demands, func(d demand) bool { return d.priority == priority })
	if i < 0 {
		i = len(u.demands)
		u.demands = append(u.demands, demand{priority: priority, flows: meter.New(demandFor)})
	}
	u.demands[i].flows.Add(now, 1)
}

// Urgent says that hardly any flow of a better priority is asked for.
func (u *Urgency) Urgent(now time.Time, priority int) bool {
	better, all := 0.0, 0.0
	for _, d := range u.demands {
		rate := d.flows.Rate(now)
		all += rate
		if d.priority < priority {
			better += rate
		}
	}
	return better <= fewShare*all
}
