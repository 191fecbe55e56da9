package report

import (
	"maps"
	"slices"
	"time"
)

// The tiers of new flows. Urgent flows have the best priority in demand (see package urgency) and
// are rejected last.
const (
	Ordinary = iota
	Urgent
	Tiers
)

// Report is the load of a balancer and of the followers whose reports it has received.
type Report struct {
	// Origin is the RPC address of the sender. Life is the start time of its process in ns, and
	// Sequence rises with each report of a life.
	Origin         string
	Life, Sequence uint64
	// Zone is the sender's availability zone.
	Zone string
	// Age is the age of the oldest included figure when the report was sent.
	Age time.Duration
	// Balancers is the number of balancers whose load is included.
	Balancers int
	Link      Link
	// Partial is set if services were left out. A service that is not listed is then unknown,
	// otherwise it is unused. Each listed service includes the load of all included balancers.
	Partial  bool
	Services []Service
}

// Link is the state of the busiest link among the included balancers.
type Link struct {
	// Use is the used share of the bandwidth in the busier direction.
	Use float64
	// Delay is the estimated queueing delay.
	Delay time.Duration
}

// Service is the load of one service.
type Service struct {
	Name string
	// Occupied holds the slots that the included balancers' callers occupy, by the availability
	// zone of the upstreams.
	Occupied map[string]float64
	// Admitted and Rejected are the rates of new flows per second, by tier.
	Admitted, Rejected [Tiers]float64
}

// Answer is a receiver's answer to a report: the load of all zones that it knows.
type Answer struct {
	// Sequence is that of the report that is answered.
	Sequence uint64
	Zones    []Zone
}

// Zone is the load of the callers of one availability zone.
type Zone struct {
	Name string
	// Age is the age of the oldest included figure when the answer was sent.
	Age time.Duration
	// Balancers is the number of balancers whose load is included. Known is the number of the
	// zone's balancers that the voter knows, 0 if it knows none.
	Balancers, Known int
	Link             Link
	// Partial is set if services were left out, as in Report.
	Partial  bool
	Services []Service
}

// Total returns the occupied slots in all zones.
func (s Service) Total() float64 {
	sum := 0.0
	for _, zone := range slices.Sorted(maps.Keys(s.Occupied)) {
		sum += s.Occupied[zone]
	}
	return sum
}

// Plus returns the report with the figures of another report of the same zone added. The identity
// remains that of r.
func (r Report) Plus(other Report) Report {
	s := NewSum(r)
	s.Add(other)
	return s.Report()
}

func (l Link) busier(other Link) Link {
	if other.Use > l.Use || other.Use == l.Use && other.Delay > l.Delay {
		return other
	}
	return l
}
