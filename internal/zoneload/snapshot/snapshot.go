package snapshot

import (
	"time"

	"wasabideal/internal/zoneload/report"
)

// MaxAge is the age above which a zone's load is ignored.
const MaxAge = time.Second

// Snapshot is an immutable view of the load. The zero value knows no zone.
type Snapshot struct {
	// Version rises with each change at this balancer.
	Version uint64
	Zones   map[string]Zone
}

// Zone is the load of the callers of one availability zone, scaled to all of its balancers.
type Zone struct {
	// Measured is when the oldest included figure was measured, by the clock of this balancer.
	Measured time.Time
	// Balancers is the number of balancers whose load is included.
	Balancers int
	Link      report.Link
	Services  map[string]Service
}

// Service is the load of one service by the callers of one zone.
type Service struct {
	// Occupied holds the occupied slots by the availability zone of the upstreams.
	Occupied map[string]float64
	// Admitted and Rejected are the rates of new flows per second, by tier.
	Admitted, Rejected [report.Tiers]float64
}

// Zone returns the load of a zone's callers, and false if it is unknown or older than MaxAge.
func (s Snapshot) Zone(now time.Time, zone string) (Zone, bool) {
	z, known := s.Zones[zone]
	return z, known && now.Sub(z.Measured) <= MaxAge
}

// Demand returns the number of slots that the zone's callers occupy at a service, in all zones.
func (z Zone) Demand(service string) float64 {
	sum := 0.0
	for _, n := range z.Services[service].Occupied {
		sum += n
	}
	return sum
}
