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
	FlowBytes       = "FlowBytes"               // memory of a stored flow
	HitNanos        = "HitNanos"                // time to route a packet of a flow that this balancer holds
	RelayNanos      = "RelayNanos"              // time to route a packet of a flow that another member holds
	OpeningNanos    = "OpeningNanos"            // time to route an opening by the flow table
	RankMillis      = "RankMillis"              // time to rank the members for flow ownership, after a change of members
	GossipMembers   = "GossipBytesByMembers"    // gossip that a member sends per second, by members
	GossipUpstreams = "GossipBytesByUpstreams"  // gossip that a member sends per second, by upstreams
	GossipMicros    = "GossipMicrosByMembers"   // CPU time of gossip per second
	UpstreamBytes   = "UpstreamBytes"           // memory of the registry of upstreams
	WholeBytes      = "WholeConfigurationBytes" // encoded size of a whole configuration
	DeltaBytes      = "DeltaBytes"              // encoded size of a delta that changes one service
	DeltaMicros     = "DeltaMicros"             // time to apply a delta that changes one service
	HeldBytes       = "HeldConfigurationBytes"  // memory of a configuration
	FanoutMicros    = "FanoutMicros"            // time until the last follower of a source has received a change
	LogBytes        = "LogBytes"                // size of a voter's log
	RecoveryMillis  = "RecoveryMillis"          // time to read and apply a voter's log
	AcceptMicros    = "AcceptMicros"            // time to write changes to a voter's log and sync them

	CookieNanos        = "CookieNanos"        // time to route a packet by its cookie
	CookieFlowBytes    = "CookieFlowBytes"    // memory of a flow under cookie routing
	CookieOpeningNanos = "CookieOpeningNanos" // time to route an opening under cookie routing
	ViewMicros         = "ViewMicros"         // time to apply the notice of one upstream
	NewsBytes          = "NewsBytes"          // size of a voter's first response, which describes all upstreams
	FirstStateMicros   = "FirstStateMicros"   // time of a voter's first response to a starting balancer of one of five zones, both ends
	ViewBytes          = "ViewBytes"          // memory of the view of all upstreams
	QuestionMicros     = "QuestionMicros"     // time of a poll at a voter without an update, both ends

	FollowMicros   = "FollowMicros"   // time of a poll at a parent balancer without an update, both ends
	FollowBytes    = "FollowBytes"    // size of this poll and its response
	HandoverMicros = "HandoverMicros" // time of one announcement in a forwarding call of 20, both ends
	FleetBytes     = "FleetBytes"     // size of the list of the balancers of a zone
	PlaceMicros    = "PlaceMicros"    // time to compute a balancer's place in the distribution tree
)

// Measurement measures a cost at several sizes; a slope is fitted to the results.
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
