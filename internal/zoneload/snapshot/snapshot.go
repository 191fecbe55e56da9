package snapshot

import (
	"maps"
	"slices"
	"time"

	"wasabideal/internal/zoneload/report"
)

const (
	// MaxAge is the age above which a zone's load is ignored.
	MaxAge = time.Second
	// maxScale bounds the factor by which figures are scaled to the balancers that are missing in
	// them: if more than half are missing, the others may not be representative.
	maxScale = 2
)

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
	// Partial is set if services were left out, which are then unknown. See Knows.
	Partial  bool
	Services map[string]Service
	// received is the unscaled entry, for relaying.
	received report.Zone
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

// Knows reports whether the zone's load at a service is known. A service that was left out of the
// messages for lack of space is not known; its Demand is 0 although it may be in use.
func (z Zone) Knows(service string) bool {
	_, listed := z.Services[service]
	return listed || !z.Partial
}

// Representative reports whether the entry includes at least half of the zone's known balancers. The
// figures of fewer are scaled by too little, so that an overloaded zone may seem hardly used.
func (z Zone) Representative() bool {
	return z.received.Balancers == 0 || maxScale*z.received.Balancers >= z.received.Known
}

// Known returns the number of the zone's balancers that the voter knows.
func (z Zone) Known() int { return z.received.Known }

// Demand returns the number of slots that the zone's callers occupy at a service, in all zones.
func (z Zone) Demand(service string) float64 {
	sum := 0.0
	for _, n := range z.Services[service].Occupied {
		sum += n
	}
	return sum
}

// With returns the snapshot with the zones of an answer whose age counts from now. The zones are
// retained and must not be changed later.
func (s Snapshot) With(now time.Time, zones []report.Zone) Snapshot {
	return s.WithAnswer(now, now, zones)
}

// WithAnswer returns the snapshot with the zones of an answer to a report that was sent at the time
// asked. Ages count from then: the answer was sent no earlier, so however long it was in transit,
// its figures never seem younger than they are. Of two entries for a zone, the younger one counts.
func (s Snapshot) WithAnswer(now, asked time.Time, zones []report.Zone) Snapshot {
	next := Snapshot{Version: s.Version + 1, Zones: maps.Clone(s.Zones)}
	if next.Zones == nil {
		next.Zones = map[string]Zone{}
	}
	tooOld := func(_ string, z Zone) bool { return now.Sub(z.Measured) > MaxAge }
	maps.DeleteFunc(next.Zones, tooOld)
	changed := len(next.Zones) != len(s.Zones)
	for _, z := range zones {
		held, known := next.Zones[z.Name]
		measured := asked.Add(-z.Age)
		if known && !measured.After(held.Measured) || now.Sub(measured) > MaxAge || !known && len(next.Zones) >= report.MaxZones {
			continue
		}
		next.Zones[z.Name] = scaled(measured, z)
		changed = true
	}
	if !changed {
		return s
	}
	return next
}

// Relay returns the entries as received, with their ages increased by the time held, sorted by
// name. Entries older than MaxAge are left out.
func (s Snapshot) Relay(now time.Time) []report.Zone {
	zones := make([]report.Zone, 0, len(s.Zones))
	for _, name := range slices.Sorted(maps.Keys(s.Zones)) {
		if z, fresh := s.Zone(now, name); fresh {
			out := z.received
			out.Age = now.Sub(z.Measured)
			zones = append(zones, out)
		}
	}
	return zones
}

// scaled returns the entry of a zone, scaled to all of its balancers.
func scaled(measured time.Time, z report.Zone) Zone {
	scale := 1.0
	if z.Balancers > 0 {
		scale = min(max(float64(z.Known)/float64(z.Balancers), 1), maxScale)
	}
	out := Zone{
		Measured: measured, Balancers: z.Balancers, Link: z.Link, Partial: z.Partial,
		Services: make(map[string]Service, len(z.Services)), received: z,
	}
	for _, s := range z.Services {
		service := Service{Occupied: make(map[string]float64, len(s.Occupied))}
		for zone, n := range s.Occupied {
			service.Occupied[zone] = scale * n
		}
		for tier := range report.Tiers {
			service.Admitted[tier] = scale * s.Admitted[tier]
			service.Rejected[tier] = scale * s.Rejected[tier]
		}
		out.Services[s.Name] = service
	}
	return out
}
