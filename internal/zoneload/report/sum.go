package report

import (
	"maps"
	"slices"
	"strings"
)

// Sum adds up the reports of one zone. It is mutable because a voter adds up hundreds of reports
// for its answers.
//
// It leaves out a service that one of the reports may have left out, since its sum is unknown: an
// incomplete sum would look like free capacity.
type Sum struct {
	report   Report
	services map[string]*Service
}

// NewSum returns a sum of one report, which gives the sum its identity.
func NewSum(first Report) *Sum {
	s := &Sum{report: first, services: make(map[string]*Service, len(first.Services))}
	for _, x := range first.Services {
		s.put(x)
	}
	return s
}

func (s *Sum) put(x Service) {
	x.Occupied = maps.Clone(x.Occupied)
	if x.Occupied == nil {
		x.Occupied = map[string]float64{}
	}
	s.services[x.Name] = &x
}

// Add adds the figures of a report.
func (s *Sum) Add(r Report) {
	s.report.Age = max(s.report.Age, r.Age)
	s.report.Balancers += r.Balancers
	s.report.Link = s.report.Link.busier(r.Link)
	if r.Partial {
		maps.DeleteFunc(s.services, func(name string, _ *Service) bool {
			return !slices.ContainsFunc(r.Services, func(x Service) bool { return x.Name == name })
		})
	}
	for _, x := range r.Services {
		if held := s.services[x.Name]; held != nil {
			held.add(x)
		} else if !s.report.Partial {
			s.put(x)
		}
	}
	s.report.Partial = s.report.Partial || r.Partial
}

func (s *Service) add(other Service) {
	for zone, n := range other.Occupied {
		s.Occupied[zone] += n
	}
	for tier := range Tiers {
		s.Admitted[tier] += other.Admitted[tier]
		s.Rejected[tier] += other.Rejected[tier]
	}
}

// Report returns the sum, whose services are sorted by name. It shares maps with the Sum, to which
// nothing may be added afterwards.
func (s *Sum) Report() Report {
	r := s.report
	r.Services = make([]Service, 0, len(s.services))
	for _, x := range s.services {
		r.Services = append(r.Services, *x)
	}
	slices.SortFunc(r.Services, func(x, y Service) int { return strings.Compare(x.Name, y.Name) })
	return r
}
