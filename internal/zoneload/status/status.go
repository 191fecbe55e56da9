package status

import (
	"maps"
	"slices"
	"strings"
	"time"

	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

// Method is the RPC method that returns a Status.
const Method = "Load.Snapshot"

// Status is the load as known at one process.
type Status struct {
	// Address is the RPC address of the process.
	Address string
	// Shared is false if the process does not exchange load reports.
	Shared bool
	// Version is the version of a balancer's view, 0 at a voter.
	Version uint64
	// Zones holds the known zones, sorted by name.
	Zones []Zone
	// Balancer holds what only balancers know, nil at a voter.
	Balancer *Balancer
}

// Zone is the load of the callers of one availability zone.
type Zone struct {
	Name string
	Age  time.Duration
	// Balancers is the number of balancers whose load is included, Known the number of the zone's
	// balancers that the voter knows.
	Balancers, Known int
	// LinkUse and LinkDelay are those of the busiest link.
	LinkUse   float64
	LinkDelay time.Duration
	// Partial is set if services were left out for lack of space.
	Partial  bool
	Services []Service
}

// Service is the load of one service by the callers of one zone.
type Service struct {
	Name string
	// Occupied holds the occupied slots by the zone of the upstreams.
	Occupied           map[string]float64
	Admitted, Rejected Rates
}

// Rates are new flows per second by tier.
type Rates struct{ Urgent, Ordinary float64 }

// Balancer is what one balancer decides with the view.
type Balancer struct {
	Zone string
	// LinkAdmission is set if the balancer rejects flows by the capacity of its link, whose use and
	// delay are then known.
	LinkAdmission bool
	LinkUse       float64
	LinkDelay     time.Duration
	Services      []Decision
}

// Decision is the state of the decisions on new flows of one service.
type Decision struct {
	Service string
	// Usable holds the usable slots by zone.
	Usable map[string]float64
	// Shares holds the shares of new flows that go to other zones.
	Shares []Share
	// UseKnown is set if the view is fresh enough for admission by use. Use is the occupied slots
	// per slot.
	UseKnown         bool
	Use              float64
	Urgent, Ordinary Admission
}

// Share is the share of new flows that go to another zone. Bulk flows are downloads and uploads.
type Share struct {
	Zone        string
	Short, Bulk float64
}

// Admission is the decision on a tier's new flows that are like the latest one.
type Admission struct {
	// Limit is the use from which all such flows are rejected, 0 if the use is too low for a limit
	// or if there was no such flow.
	Limit float64
	// RejectedShare is the share of such flows that are rejected.
	RejectedShare float64
}

// Zones returns the load of reported zones, sorted by name.
func Zones(reported []report.Zone) []Zone {
	out := make([]Zone, 0, len(reported))
	for _, z := range reported {
		x := Zone{
			Name: z.Name, Age: z.Age, Balancers: z.Balancers, Known: z.Known, LinkUse: z.Link.Use, LinkDelay: z.Link.Delay,
			Partial: z.Partial, Services: make([]Service, 0, len(z.Services)),
		}
		for _, s := range z.Services {
			x.Services = append(x.Services, newService(s.Name, s.Occupied, s.Admitted, s.Rejected))
		}
		slices.SortFunc(x.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ViewZones returns the load of a view's zones, scaled to all balancers of each, sorted by name. Zones
// that are too old for decisions are included.
func ViewZones(now time.Time, s snapshot.Snapshot) []Zone {
	out := make([]Zone, 0, len(s.Zones))
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		z := s.Zones[name]
		x := Zone{
			Name: name, Age: now.Sub(z.Measured), Balancers: z.Balancers, Known: z.Known(), LinkUse: z.Link.Use, LinkDelay: z.Link.Delay,
			Partial: z.Partial, Services: make([]Service, 0, len(z.Services)),
		}
		for _, service := range slices.Sorted(maps.Keys(z.Services)) {
			l := z.Services[service]
			x.Services = append(x.Services, newService(service, l.Occupied, l.Admitted, l.Rejected))
		}
		out = append(out, x)
	}
	return out
}

func newService(name string, occupied map[string]float64, admitted, rejected [report.Tiers]float64) Service {
	return Service{
		Name: name, Occupied: occupied,
		Admitted: Rates{Urgent: admitted[report.Urgent], Ordinary: admitted[report.Ordinary]},
		Rejected: Rates{Urgent: rejected[report.Urgent], Ordinary: rejected[report.Ordinary]},
	}
}
