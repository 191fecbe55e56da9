package report

import (
	"cmp"
	"maps"
	"slices"
)

// Encode returns the encoded report, at most MaxSize bytes. If there are more services than
// MaxServices or than fit, those with the fewest occupied slots are left out and the report is
// marked as partial. So is a service in so many zones that there would be more than MaxZones.
// Services whose figures all round to 0 are left out as unused.
func (r Report) Encode() ([]byte, error) {
	services := ranked(r.Services)
	listed := newNames(r.Zone).withinLimit(services)
	return largest(min(len(listed), MaxServices), func(n int) ([]byte, error) {
		zones, names := newNames(r.Zone), newNames()
		w := wireReport{
			Origin: origin(r.Origin), Life: r.Life, Sequence: r.Sequence, Age: milliseconds(r.Age), Balancers: count(r.Balancers),
			Use: quantity(r.Link.Use, useUnit), Delay: milliseconds(r.Link.Delay), Partial: r.Partial || n < len(services),
			Services: encodeServices(listed[:n], zones, names),
		}
		w.Zones, w.Names = zones.list, names.list
		return encoder.Marshal(w)
	})
}

// Encode returns the encoded answer, at most MaxSize bytes. If there are more services than
// MaxServices or than fit, those with the fewest slots occupied by all zones are left out of all
// zones, which are then marked as partial; Split avoids that. Zones beyond MaxZones are left out,
// the oldest first.
func (a Answer) Encode() ([]byte, error) {
	a.Zones = slices.Clone(a.Zones)
	slices.SortStableFunc(a.Zones, func(x, y Zone) int { return cmp.Compare(x.Age, y.Age) })
	a.Zones = a.Zones[:min(len(a.Zones), MaxZones)]
	listed := a.zoneNames().withinLimit(a.services())
	return largest(min(len(listed), MaxServices), func(n int) ([]byte, error) { return a.encode(listed[:n]) })
}

// Split returns answers that together hold all zones. Each one is encoded with all of its services
// if possible; only an answer of a single zone may still be too large for that.
func (a Answer) Split() []Answer {
	var answers []Answer
	for rest := a.Zones; len(rest) > 0; {
		n, _ := searchLargest(len(rest), func(n int) bool { return Answer{Zones: rest[:n]}.fits() })
		n = max(n, 1)
		answers, rest = append(answers, Answer{Sequence: a.Sequence, Zones: rest[:n]}), rest[n:]
	}
	return answers
}

// fits reports whether all services fit into one message.
func (a Answer) fits() bool {
	services := a.services()
	if len(a.Zones) > MaxZones || len(services) > MaxServices || len(a.zoneNames().withinLimit(services)) < len(services) {
		return false
	}
	b, err := a.encode(services)
	return err == nil && len(b) <= MaxSize
}

// services returns the services of all zones, those with the most occupied slots first. Occupied is
// set to the slots occupied by the callers of all zones; no other figure is set.
func (a Answer) services() []Service {
	sums := map[string]map[string]float64{}
	for _, z := range a.Zones {
		for _, s := range z.Services {
			if s.unused() {
				continue
			}
			if sums[s.Name] == nil {
				sums[s.Name] = make(map[string]float64, len(s.Occupied))
			}
			for zone, n := range s.Occupied {
				sums[s.Name][zone] += n
			}
		}
	}
	services := make([]Service, 0, len(sums))
	for name, occupied := range sums {
		services = append(services, Service{Name: name, Occupied: occupied})
	}
	return sortByTotal(services)
}

func (a Answer) zoneNames() *names {
	n := newNames()
	for _, z := range a.Zones {
		n.index(z.Name)
	}
	return n
}

// encode returns the encoded answer with the given services only.
func (a Answer) encode(services []Service) ([]byte, error) {
	zones, names := newNames(), newNames()
	for _, s := range services {
		names.index(s.Name)
	}
	w := wireAnswer{Sequence: a.Sequence, Names: names.list, Loads: make([]wireZone, 0, len(a.Zones))}
	for _, z := range a.Zones {
		partial := z.Partial
		listed := make([]Service, 0, len(services))
		for _, s := range z.Services {
			if s.unused() {
				continue
			}
			if _, kept := names.indexes[s.Name]; kept {
				listed = append(listed, s)
			} else {
				partial = true
			}
		}
		w.Loads = append(w.Loads, wireZone{
			Zone: zones.index(z.Name), Age: milliseconds(z.Age), Balancers: count(z.Balancers), Known: count(z.Known),
			Use: quantity(z.Link.Use, useUnit), Delay: milliseconds(z.Link.Delay), Partial: partial,
			Services: encodeServices(listed, zones, names),
		})
	}
	w.Zones = zones.list
	return encoder.Marshal(w)
}

// largest returns the encoding with the most services, up to limit, that does not exceed MaxSize.
func largest(limit int, encode func(services int) ([]byte, error)) ([]byte, error) {
	var best []byte
	var failure error
	_, found := searchLargest(limit, func(n int) bool {
		b, err := encode(n)
		if err != nil {
			failure = err
		}
		if len(b) > MaxSize {
			return false
		}
		best = b
		return true
	})
	if failure == nil && !found {
		b, err := encode(0)
		if err != nil {
			return nil, err
		}
		return nil, &SizeError{Size: len(b)}
	}
	return best, failure
}

// searchLargest returns the largest number up to limit that fits, and false if not even 0 fits. It
// doubles the number first: what is far too large is never tried.
func searchLargest(limit int, fits func(int) bool) (int, bool) {
	if !fits(0) {
		return 0, false
	}
	fitting, next := 0, 1
	for next <= limit && fits(next) {
		fitting, next = next, 2*next
	}
	if next > limit {
		next = limit + 1
	}
	for next-fitting > 1 {
		if middle := (fitting + next) / 2; fits(middle) {
			fitting = middle
		} else {
			next = middle
		}
	}
	return fitting, true
}

// ranked returns the services with a figure that does not round to 0, those with the most occupied
// slots first.
func ranked(services []Service) []Service {
	return sortByTotal(slices.DeleteFunc(slices.Clone(services), Service.unused))
}

func sortByTotal(services []Service) []Service {
	totals := make(map[string]float64, len(services))
	for _, s := range services {
		totals[s.Name] = s.Total()
	}
	slices.SortStableFunc(services, func(x, y Service) int {
		return cmp.Or(cmp.Compare(totals[y.Name], totals[x.Name]), cmp.Compare(x.Name, y.Name))
	})
	return services
}

// unused reports whether all figures round to 0.
func (s Service) unused() bool {
	for _, n := range s.Occupied {
		if quantity(n, slotUnit) > 0 {
			return false
		}
	}
	for tier := range Tiers {
		if quantity(s.Admitted[tier], rateUnit) > 0 || quantity(s.Rejected[tier], rateUnit) > 0 {
			return false
		}
	}
	return true
}

func encodeServices(services []Service, zones, names *names) []wireService {
	encoded := make([]wireService, 0, len(services))
	for _, s := range services {
		w := wireService{Name: names.index(s.Name), Occupied: make([]uint64, 0, 2*len(s.Occupied)), Rates: make([]uint64, 0, 2*Tiers)}
		for _, zone := range slices.Sorted(maps.Keys(s.Occupied)) {
			if n := quantity(s.Occupied[zone], slotUnit); n > 0 {
				w.Occupied = append(w.Occupied, zones.index(zone), n)
			}
		}
		for _, rate := range slices.Concat(s.Admitted[:], s.Rejected[:]) {
			w.Rates = append(w.Rates, quantity(rate, rateUnit))
		}
		for len(w.Rates) > 0 && w.Rates[len(w.Rates)-1] == 0 {
			w.Rates = w.Rates[:len(w.Rates)-1]
		}
		encoded = append(encoded, w)
	}
	return encoded
}

// names collects the names of a message, which refers to them by index.
type names struct {
	list    []string
	indexes map[string]uint64
}

func newNames(initial ...string) *names {
	n := &names{indexes: map[string]uint64{}}
	for _, name := range initial {
		n.index(name)
	}
	return n
}

// index returns the index of a name, and adds the name if necessary.
func (n *names) index(name string) uint64 {
	i, known := n.indexes[name]
	if !known {
		i = uint64(len(n.list))
		n.indexes[name] = i
		n.list = append(n.list, name)
	}
	return i
}

// withinLimit adds the zones in which the services occupy slots. It returns the services without
// those whose zones would exceed MaxZones.
func (n *names) withinLimit(services []Service) []Service {
	var listed []Service
	for _, s := range services {
		var added []string
		for zone, slots := range s.Occupied {
			if _, known := n.indexes[zone]; !known && quantity(slots, slotUnit) > 0 {
				added = append(added, zone)
			}
		}
		if len(n.list)+len(added) > MaxZones {
			continue
		}
		for _, zone := range added {
			n.index(zone)
		}
		listed = append(listed, s)
	}
	return listed
}
