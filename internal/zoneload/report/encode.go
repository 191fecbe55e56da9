package report

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// Encode returns the encoded report, at most MaxSize bytes. If there are more services than
// MaxServices or than fit, those with the fewest occupied slots are left out and the report is
// marked as partial. Services whose figures all round to 0 are left out as unused.
func (r Report) Encode() ([]byte, error) {
	zones := newNames(r.Zone)
	services := ranked(r.Services)
	for i, s := range services {
		if !zones.addOccupied(s, MaxZones) {
			services, r.Partial = slices.Delete(services, i, len(services)), true
			break
		}
	}
	return largest(min(len(services), MaxServices), func(n int) ([]byte, error) {
		zones, names := newNames(r.Zone), newNames()
		w := wireReport{
			Origin: origin(r.Origin), Life: r.Life, Sequence: r.Sequence, Age: milliseconds(r.Age), Balancers: count(r.Balancers),
			Use: quantity(r.Link.Use, useUnit), Delay: milliseconds(r.Link.Delay), Partial: r.Partial || n < len(services),
			Services: encodeServices(services[:n], zones, names),
		}
		w.Zones, w.Names = zones.list, names.list
		return encoder.Marshal(w)
	})
}

// Encode returns the encoded answer, at most MaxSize bytes. If there are more services than
// MaxServices or than fit, those with the fewest slots occupied by all zones are left out of all
// zones, which are then marked as partial. Zones beyond MaxZones are left out, the oldest first.
func (a Answer) Encode() ([]byte, error) {
	loads := slices.Clone(a.Zones)
	slices.SortStableFunc(loads, func(x, y Zone) int { return cmp.Compare(x.Age, y.Age) })
	loads = loads[:min(len(loads), MaxZones)]
	sum := Report{}
	for _, z := range loads {
		sum.Services = addServices(sum, Report{Services: z.Services})
	}
	services := ranked(sum.Services)
	known := newNames()
	for _, z := range loads {
		known.index(z.Name)
	}
	for i, s := range services {
		if !known.addOccupied(s, MaxZones) {
			services = slices.Delete(services, i, len(services))
			break
		}
	}
	return largest(min(len(services), MaxServices), func(n int) ([]byte, error) {
		zones, names := newNames(), newNames()
		w := wireAnswer{Sequence: a.Sequence}
		kept := make(map[string]bool, n)
		for _, s := range services[:n] {
			kept[s.Name] = true
		}
		for _, z := range loads {
			listed := ranked(z.Services)
			shown := slices.DeleteFunc(slices.Clone(listed), func(s Service) bool { return !kept[s.Name] })
			w.Loads = append(w.Loads, wireZone{
				Zone: zones.index(z.Name), Age: milliseconds(z.Age), Balancers: count(z.Balancers), Known: count(z.Known),
				Use: quantity(z.Link.Use, useUnit), Delay: milliseconds(z.Link.Delay), Partial: z.Partial || len(shown) < len(listed),
				Services: encodeServices(shown, zones, names),
			})
		}
		w.Zones, w.Names = zones.list, names.list
		return encoder.Marshal(w)
	})
}

// largest returns the encoding with the most services, up to limit, that does not exceed MaxSize.
func largest(limit int, encode func(services int) ([]byte, error)) ([]byte, error) {
	var failure error
	size := 0
	encoded := func(n int) []byte {
		b, err := encode(n)
		if err != nil {
			failure = err
		}
		size = len(b)
		return b
	}
	if b := encoded(limit); failure != nil || size <= MaxSize {
		return b, failure
	}
	excess := sort.Search(limit, func(n int) bool { return len(encoded(n)) > MaxSize })
	if excess == 0 {
		encoded(0)
		return nil, &SizeError{Size: size}
	}
	return encoded(excess - 1), failure
}

// ranked returns the services with a figure that does not round to 0, those with the most occupied
// slots first.
func ranked(services []Service) []Service {
	used := slices.DeleteFunc(slices.Clone(services), func(s Service) bool { return s.unused() })
	totals := make(map[string]float64, len(used))
	for _, s := range used {
		totals[s.Name] = s.Total()
	}
	slices.SortStableFunc(used, func(x, y Service) int {
		return cmp.Or(cmp.Compare(totals[y.Name], totals[x.Name]), cmp.Compare(x.Name, y.Name))
	})
	return used
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
		w := wireService{Name: names.index(s.Name)}
		for _, zone := range slices.Sorted(maps.Keys(s.Occupied)) {
			if n := quantity(s.Occupied[zone], slotUnit); n > 0 {
				w.Occupied = append(w.Occupied, zones.index(zone), n)
			}
		}
		for tier := range Tiers {
			w.Rates[tier] = quantity(s.Admitted[tier], rateUnit)
			w.Rates[Tiers+tier] = quantity(s.Rejected[tier], rateUnit)
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

// addOccupied adds the zones in which a service occupies slots, and reports whether there are at
// most limit names.
func (n *names) addOccupied(s Service, limit int) bool {
	for _, zone := range slices.Sorted(maps.Keys(s.Occupied)) {
		if quantity(s.Occupied[zone], slotUnit) > 0 {
			n.index(zone)
		}
	}
	return len(n.list) <= limit
}
