package report

// Condensed returns the answer for a receiver in the given zone, without the figures of other zones
// that no decision reads: how their occupied slots are distributed over zones (all count as occupied
// in the zone of the callers), their rates and their links. Demand by zone and service is unchanged.
// With 18 zones and 2 services it takes 764 bytes instead of 1,446.
func (a Answer) Condensed(own string) Answer {
	condensed := Answer{Sequence: a.Sequence, Zones: make([]Zone, 0, len(a.Zones))}
	for _, z := range a.Zones {
		if z.Name != own {
			z.Link, z.Services = Link{}, condensedServices(z)
		}
		condensed.Zones = append(condensed.Zones, z)
	}
	return condensed
}

func condensedServices(z Zone) []Service {
	services := make([]Service, 0, len(z.Services))
	for _, s := range z.Services {
		services = append(services, Service{Name: s.Name, Occupied: map[string]float64{z.Name: s.Total()}})
	}
	return services
}
