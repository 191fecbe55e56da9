package measure

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"time"

	"wasabideal/internal/capacity/slope"
)

// The names of the slopes, under which they are stored in slopes.json.
const (
	FlowBytes       = "FlowBytes"
	HitNanos        = "HitNanos"
	RelayNanos      = "RelayNanos"
	OpeningNanos    = "OpeningNanos"
	RankMillis      = "RankMillis"
	GossipMembers   = "GossipBytesByMembers"
	GossipUpstreams = "GossipBytesByUpstreams"
	GossipMicros    = "GossipMicrosByMembers"
	UpstreamBytes   = "UpstreamBytes"
	WholeBytes      = "WholeConfigurationBytes"
	DeltaBytes      = "DeltaBytes"
	DeltaMicros     = "DeltaMicros"
	HeldBytes       = "HeldConfigurationBytes"
	FanoutMicros    = "FanoutMicros"
	LogBytes        = "LogBytes"
	RecoveryMillis  = "RecoveryMillis"
	AcceptMicros    = "AcceptMicros"

	CookieNanos        = "CookieNanos"
	CookieFlowBytes    = "CookieFlowBytes"
	CookieOpeningNanos = "CookieOpeningNanos"
	ViewMicros         = "ViewMicros"
	NewsBytes          = "NewsBytes"
	ViewBytes          = "ViewBytes"
	QuestionMicros     = "QuestionMicros"

	FollowMicros   = "FollowMicros"
	FollowBytes    = "FollowBytes"
	HandoverMicros = "HandoverMicros"
	FleetBytes     = "FleetBytes"
	PlaceMicros    = "PlaceMicros"
)

// Measurement measures a cost at several sizes, from which a slope is fitted.
type Measurement struct {
	Name, Per, Unit string
	Sizes           []float64
	Measure         func(size float64) (float64, error)
}

// Suite runs all measurements one after another.
type Suite struct{ out io.Writer }

// NewSuite returns a suite that writes its progress to out.
func NewSuite(out io.Writer) Suite { return Suite{out: out} }

// Run runs the selected measurements at each of their sizes.
func (s Suite) Run(selected func(name string) bool) ([]slope.Slope, error) {
	var slopes []slope.Slope
	all := slices.Concat(flowMeasurements(), groupMeasurements(), configurationMeasurements(), controlMeasurements(), cookieMeasurements(), fanoutMeasurements())
	for _, m := range all {
		if !selected(m.Name) {
			continue
		}
		x, err := s.measure(m)
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, x)
	}
	return slopes, nil
}

func (s Suite) measure(m Measurement) (slope.Slope, error) {
	var points []slope.Point
	for _, size := range m.Sizes {
		y, err := m.Measure(size)
		if err != nil {
			return slope.Slope{}, fmt.Errorf("measure %s at %g: %w", m.Name, size, err)
		}
		points = append(points, slope.Point{X: size, Y: y})
	}
	x, err := slope.New(m.Name, m.Per, m.Unit, points)
	if err != nil {
		return x, err
	}
	_, _ = fmt.Fprintf(s.out, "%-24s %12.4g + %.4g per %s (%s), R2 %.3f\n", m.Name, x.Intercept, x.Gradient, m.Per, m.Unit, x.Fit)
	return x, nil
}

// heap returns the bytes of live heap objects after a garbage collection.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// rounds is the number of repetitions of a timing; the median is used.
const rounds = 5

// nanos returns the median time per operation in nanoseconds, where f performs n operations.
func nanos(n int, f func()) float64 {
	times := make([]float64, 0, rounds)
	for range rounds {
		start := time.Now()
		f()
		times = append(times, float64(time.Since(start).Nanoseconds())/float64(n))
	}
	slices.Sort(times)
	return times[rounds/2]
}
