package zoneadmission

import "time"

// Idle is the use below which no flow is rejected: half of the slots are free.
const Idle = 0.5

// busy is the use above which no zone has much room for the callers of others.
const busy = 0.8

const (
	// growthOffset, minGrowth and maxGrowth are those of package admission: two requests in flight
	// instead of one do not mean that the load has doubled.
	growthOffset         = 4
	minGrowth, maxGrowth = 0.5, 3
	// ordinaryWait and urgentWait are the parts of the objective that an admitted flow may wait for
	// a slot. Urgent flows may wait longer, since they are rejected only if no ordinary one is
	// admitted.
	ordinaryWait, urgentWait = 0.25, 0.5
	// minOrdinary and minUrgent keep all slots busy while flows are rejected. An upstream's queue
	// holds four requests per slot: maxOrdinary fills half of it, maxUrgent all of it.
	minOrdinary, maxOrdinary = 1.5, 3
	minUrgent, maxUrgent     = 2, 5
	// firstRejected is the part of a limit from which flows are rejected in part. At the limit all
	// are rejected.
	firstRejected = 0.8
)

// Load is the load of a service as known at one balancer.
type Load struct {
	// Occupied is the number of slots that callers of all zones occupied when the view was
	// measured. Slots is the number of slots that may be used in the same zones; it is not 0.
	Occupied, Slots float64
	// Elsewhere is the part of Occupied by callers of other zones. Their balancers see other changes
	// than this one, so that its growth says nothing about it.
	Elsewhere float64
	// InFlightThen and InFlight are this balancer's own requests in flight when the view was
	// measured, and now.
	InFlightThen, InFlight float64
}

// Measured returns the occupied slots per slot when the view was measured.
func (l Load) Measured() float64 { return l.Occupied / l.Slots }

// Use estimates the occupied slots per slot. While the view shows busy zones, this balancer's growth
// stands for that of all balancers: a burst in all zones would otherwise be seen a third as fast, and
// fill the queues. Below that, the growth may be that of its own zone alone, which other zones have room
// for.
func (l Load) Use() float64 {
	growth := min(max((l.InFlight+growthOffset)/(l.InFlightThen+growthOffset), minGrowth), maxGrowth)
	if l.Measured() >= busy {
		return l.Measured() * growth
	}
	return ((l.Occupied-l.Elsewhere)*growth + l.Elsewhere) / l.Slots
}

// Flow describes a new flow.
type Flow struct {
	// Objective is the flow's latency objective, 0 for none.
	Objective time.Duration
	// Work is how long a request occupies a slot, 0 if unknown.
	Work time.Duration
	// Urgent flows are rejected last. UrgentObjective is the shortest objective of the service's
	// recent urgent flows, 0 for none.
	Urgent          bool
	UrgentObjective time.Duration
	// Number is a hash of the flow, whose highest 16 bits are evenly distributed. It chooses the flows
	// that are rejected while only a part of them is.
	Number uint64
}

// Decision is the decision on a new flow.
type Decision struct {
	Admitted bool
	// Use and Limit are the occupied slots per slot, and those from which all flows like this one
	// are rejected.
	Use, Limit float64
	// RejectedShare is the share of such flows that are rejected now.
	RejectedShare float64
}

// Decide decides on a new flow. All copies of its opening are decided alike at the same load, and a
// retry, which comes from another port, independently of the attempts before it: callers retry within
// milliseconds, when a choice that is kept for longer would reject them again.
func Decide(l Load, f Flow) Decision {
	d := Decision{Admitted: true, Use: l.Use()}
	if d.Use < Idle {
		return d
	}
	d.Limit = f.limit()
	first := firstRejected * d.Limit
	d.RejectedShare = min(max((d.Use-first)/(d.Limit-first), 0), 1)
	const parts = 1 << 16
	d.Admitted = float64(f.Number>>48) >= d.RejectedShare*parts
	return d
}

// limit returns the use from which all flows like this one are rejected. An ordinary flow has a
// limit of at most that from which urgent flows are rejected in part, even if its objective is longer than theirs.
func (f Flow) limit() float64 {
	if f.Urgent {
		return limit(f.Objective, f.Work, urgentWait, minUrgent, maxUrgent)
	}
	own := limit(f.Objective, f.Work, ordinaryWait, minOrdinary, maxOrdinary)
	return min(own, firstRejected*limit(f.UrgentObjective, f.Work, urgentWait, minUrgent, maxUrgent))
}

// limit returns the use at which a flow waits for the given part of its objective. Without an
// objective or a known work only the queue's length limits the use.
func limit(objective, work time.Duration, wait, least, most float64) float64 {
	if objective <= 0 || work <= 0 {
		return most
	}
	return min(max(1+wait*float64(objective)/float64(work), least), most)
}
