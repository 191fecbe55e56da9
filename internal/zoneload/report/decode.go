package report

// DecodeReport decodes a report, or returns a DecodeError.
func DecodeReport(data []byte) (Report, error) {
	var w wireReport
	if err := decode(data, &w); err != nil {
		return Report{}, err
	}
	if !distinct(w.Zones) || len(w.Zones) == 0 || !distinct(w.Names) {
		return Report{}, &DecodeError{Field: "names"}
	}
	if w.Origin == "" || len(w.Origin) > maxName {
		return Report{}, &DecodeError{Field: "origin"}
	}
	r := Report{
		Origin: string(w.Origin), Life: w.Life, Sequence: w.Sequence, Zone: w.Zones[0], Partial: w.Partial,
		Age: duration(w.Age), Balancers: int(min(w.Balancers, maxCount)), Link: Link{Use: figure(w.Use, useUnit), Delay: duration(w.Delay)},
	}
	if !validFigures(w.Age, w.Delay, w.Use, w.Balancers) {
		return Report{}, &DecodeError{Field: "figures"}
	}
	var err error
	if r.Services, err = decodeServices(w.Services, w.Zones, w.Names); err != nil {
		return Report{}, err
	}
	return r, nil
}

// DecodeAnswer decodes an answer, or returns a DecodeError.
func DecodeAnswer(data []byte) (Answer, error) {
	var w wireAnswer
	if err := decode(data, &w); err != nil {
		return Answer{}, err
	}
	if !distinct(w.Zones) || !distinct(w.Names) {
		return Answer{}, &DecodeError{Field: "names"}
	}
	a := Answer{Sequence: w.Sequence}
	seen := map[uint64]bool{}
	for _, l := range w.Loads {
		if l.Zone >= uint64(len(w.Zones)) || seen[l.Zone] {
			return Answer{}, &DecodeError{Field: "zone"}
		}
		seen[l.Zone] = true
		z, err := decodeZone(l, w.Zones, w.Names)
		if err != nil {
			return Answer{}, err
		}
		a.Zones = append(a.Zones, z)
	}
	return a, nil
}

func decodeZone(w wireZone, zones, names []string) (Zone, error) {
	z := Zone{
		Name: zones[w.Zone], Partial: w.Partial, Balancers: int(min(w.Balancers, maxCount)), Known: int(min(w.Known, maxCount)),
		Age: duration(w.Age), Link: Link{Use: figure(w.Use, useUnit), Delay: duration(w.Delay)},
	}
	if !validFigures(w.Age, w.Delay, w.Use, w.Balancers) || w.Known > maxCount {
		return Zone{}, &DecodeError{Field: "figures"}
	}
	var err error
	if z.Services, err = decodeServices(w.Services, zones, names); err != nil {
		return Zone{}, err
	}
	return z, nil
}

// validFigures reports whether the figures of a report or zone are within their bounds.
func validFigures(age, delay, use, balancers uint64) bool {
	return max(age, delay) <= maxMilliseconds && use <= maxCount && balancers > 0 && balancers <= maxCount
}

// decode decodes a whole message.
func decode(data []byte, w any) error {
	if len(data) > MaxSize {
		return &DecodeError{Field: "message", Cause: &SizeError{Size: len(data)}}
	}
	if err := decoder.Unmarshal(data, w); err != nil {
		return &DecodeError{Field: "message", Cause: err}
	}
	return nil
}

// distinct reports whether a list has at most maxNames valid names, none of them twice.
func distinct(list []string) bool {
	seen := make(map[string]bool, len(list))
	for _, name := range list {
		if len(name) > maxName || seen[name] {
			return false
		}
		seen[name] = true
	}
	return len(list) <= maxNames
}

func decodeServices(encoded []wireService, zones, names []string) ([]Service, error) {
	var services []Service
	seen := map[uint64]bool{}
	for _, w := range encoded {
		if w.Name >= uint64(len(names)) || seen[w.Name] {
			return nil, &DecodeError{Field: "service"}
		}
		seen[w.Name] = true
		s, err := decodeService(w, zones)
		if err != nil {
			return nil, err
		}
		s.Name = names[w.Name]
		services = append(services, s)
	}
	return services, nil
}

func decodeService(w wireService, zones []string) (Service, error) {
	s := Service{Occupied: make(map[string]float64, len(w.Occupied)/2)}
	if len(w.Occupied)%2 != 0 {
		return Service{}, &DecodeError{Field: "occupied slots"}
	}
	for i := 0; i < len(w.Occupied); i += 2 {
		zone, n := w.Occupied[i], w.Occupied[i+1]
		if zone >= uint64(len(zones)) || n > maxCount {
			return Service{}, &DecodeError{Field: "occupied slots"}
		}
		if _, twice := s.Occupied[zones[zone]]; twice {
			return Service{}, &DecodeError{Field: "occupied slots"}
		}
		s.Occupied[zones[zone]] = figure(n, slotUnit)
	}
	for i, n := range w.Rates[:min(len(w.Rates), 2*Tiers)] {
		if n > maxCount {
			return Service{}, &DecodeError{Field: "rates"}
		}
		if i < Tiers {
			s.Admitted[i] = figure(n, rateUnit)
		} else {
			s.Rejected[i-Tiers] = figure(n, rateUnit)
		}
	}
	return s, nil
}

func figure(n uint64, unit float64) float64 { return float64(n) / unit }
