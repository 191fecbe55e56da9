package run

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// objective is the latency objective of all routes with shared load.
	objective = 150 * time.Millisecond
	// workDuration is how long a request occupies a slot with shared load.
	workDuration = 40 * time.Millisecond
	// maxBurstPause is the longest pause of a caller in a burst. A rejected caller retries after it.
	maxBurstPause = 20 * time.Millisecond
	// A burst is longer than the time that balancers need to learn of it.
	minBurst, maxBurst = time.Second, 3 * time.Second
	// faultsPerBurst is the mean number of faults of injectFault for each burst.
	faultsPerBurst = 6
	// burstCallersPerSlot times the slots is the number of callers in a burst in all zones, and
	// zoneCallersPerSlot times a zone's slots is their number in a burst in one zone.
	burstCallersPerSlot, zoneCallersPerSlot = 4, 2
	// burstRecovery is the time after a burst from which each new flow must be served.
	burstRecovery = time.Second
	// viewTimeout is the time in which a balancer must show a view of the load. A view is missing
	// for moments if consecutive reports are lost.
	viewTimeout = 3 * time.Second
	// maxDeviations is the tolerance of checkPriorities in standard deviations: chance alone
	// exceeds it in one of 30,000 runs.
	maxDeviations = 4
)

// LoadResult holds the counts of a run with shared load.
type LoadResult struct {
	Bursts            int
	Urgent, Ordinary  Attempts
	Probes            Attempts
	Spilled           int
	RejectedByUse     int
	RejectedByLink    int
	ReportsReceived   int
	BalancersWithView int
}

// Attempts counts flows of one request that callers tried to open, and those whose request was
// answered.
type Attempts struct{ All, Served int }

func (a Attempts) share() float64 { return float64(a.Served) / float64(a.All) }

// routes returns the number of routes. With shared load, each service has an urgent route and an
// ordinary one.
func (r *Run) routes() int {
	if r.settings.SharedLoad {
		return 2 * len(services)
	}
	return len(services)
}

func (r *Run) prepareBursts() error {
	if !r.settings.SharedLoad {
		return nil
	}
	for n := range burstCallersPerSlot * slotsPerUpstream * r.settings.Upstreams {
		c, err := r.listenAsCaller(kindBurstCaller, n)
		if err != nil {
			return err
		}
		r.burstCallers = append(r.burstCallers, c)
	}
	return nil
}

// burst starts a burst of load in one of faultsPerBurst calls, unless the last one continues.
func (r *Run) burst(random *rand.Rand) {
	start, zone := random.IntN(faultsPerBurst) == 0, random.IntN(2*r.settings.Zones)
	duration := minBurst + time.Duration(random.Int64N(int64(maxBurst-minBurst)))
	if start && r.settings.SharedLoad && time.Now().After(r.burstEnd) {
		r.startBurst(zone, duration)
	}
}

// startBurst lets callers of one zone, or of all zones if there is no zone with the given number,
// open flows for a duration.
func (r *Run) startBurst(zone int, duration time.Duration) {
	callers := r.burstCallers
	if zone < r.settings.Zones {
		callers = lo.Filter(callers, func(c *caller, _ int) bool { return c.zone == r.zone(zone) })
		callers = callers[:zoneCallersPerSlot*len(callers)/burstCallersPerSlot]
	}
	end := time.Now().Add(duration)
	r.burstEnd = end
	r.count(&r.load.Bursts)
	for _, c := range callers {
		r.startGoroutine(func() { c.burst(end) })
	}
}

// burst opens flows of one request each until the end. The class of each flow is random. It thus
// does not depend on anything that affects whether the flow is served, such as faults, the zone or
// the moment.
func (c *caller) burst(end time.Time) {
	c.busy.Lock()
	defer c.busy.Unlock()
	for time.Now().Before(end) && !c.run.hasEnded() {
		class, attempts := rand.IntN(2), &c.run.load.Urgent
		if class > 0 {
			attempts = &c.run.load.Ordinary
		}
		c.attempt(class, attempts)
		time.Sleep(rand.N(maxBurstPause))
	}
}

// attempt opens a flow, sends one request and counts the result.
func (c *caller) attempt(class int, attempts *Attempts) bool {
	served := false
	if next, ok := c.open(route(class*len(services) + rand.IntN(len(services)))); ok {
		if _, served = c.request(&next); served {
			next.Finish = true
			c.send(next)
		}
	}
	c.run.mu.Lock()
	defer c.run.mu.Unlock()
	// What the end of the run interrupts is no result.
	if !c.run.ended {
		attempts.All++
		if served {
			attempts.Served++
		}
	}
	return served
}

// checkLoad verifies how load is handled while there is no fault, and the shares of the classes over
// the whole run.
func (r *Run) checkLoad() {
	for r.timeBoundsReference().IsZero() {
		time.Sleep(readinessInterval)
	}
	random := rand.New(rand.NewPCG(r.settings.Seed, 6))
	for _, zone := range []int{random.IntN(r.settings.Zones), r.settings.Zones} {
		r.startBurst(zone, maxBurst)
		time.Sleep(maxBurst + burstRecovery)
		r.checkServed()
	}
	r.checkViews()
	r.checkPriorities()
}

// checkServed verifies that the first attempt of each caller is served.
func (r *Run) checkServed() {
	var probes sync.WaitGroup
	for n := range r.settings.Callers {
		probes.Add(1)
		c := r.burstCallers[n%len(r.burstCallers)]
		r.startGoroutine(func() {
			defer probes.Done()
			c.busy.Lock()
			defer c.busy.Unlock()
			if at := time.Now().UTC(); !c.attempt(n/r.settings.Zones%2, &r.load.Probes) {
				r.reportViolation(InvariantBurst, fmt.Sprintf("flow from %s:%d, opened at %s, was not served",
					c.ip, c.port, at.Format(time.RFC3339Nano)))
			}
		})
	}
	probes.Wait()
}

// checkPriorities verifies that the served share of urgent flows is no lower than that of ordinary
// flows, less maxDeviations standard deviations of the difference. If the class of a flow had no
// effect, the difference would have the variance p(1-p)(1/n+1/m) for n and m flows with the common
// share p, since classes are drawn independently. At p = 0.5, the tolerance is 0.057 with 2,500 flows
// of each class and 0.28 with 100.
func (r *Run) checkPriorities() {
	r.mu.Lock()
	urgent, ordinary := r.load.Urgent, r.load.Ordinary
	r.mu.Unlock()
	if tolerance, broken := priorityViolated(urgent, ordinary); broken {
		r.reportViolation(InvariantPriority, fmt.Sprintf("%d of %d urgent flows served and %d of %d ordinary ones, tolerance %.4f",
			urgent.Served, urgent.All, ordinary.Served, ordinary.All, tolerance))
	}
}

func priorityViolated(urgent, ordinary Attempts) (tolerance float64, violated bool) {
	if urgent.All == 0 || ordinary.All == 0 {
		return 0, false
	}
	p := Attempts{All: urgent.All + ordinary.All, Served: urgent.Served + ordinary.Served}.share()
	tolerance = maxDeviations * math.Sqrt(p*(1-p)*(1/float64(urgent.All)+1/float64(ordinary.All)))
	return tolerance, urgent.share() < ordinary.share()-tolerance
}

// checkViews verifies that each balancer knows the load of zones. Otherwise the run would test
// nothing of what depends on it.
func (r *Run) checkViews() {
	for n, b := range r.balancers {
		m := r.metrics(b)
		for end := time.Now().Add(viewTimeout); m["load_balancers"] == 0 && time.Now().Before(end); m = r.metrics(b) {
			time.Sleep(readinessInterval)
		}
		if m["load_balancers"] == 0 {
			r.reportViolation(InvariantLoad, fmt.Sprintf("balancer-%d has no view of the load", n))
		} else {
			r.count(&r.load.BalancersWithView)
		}
		r.mu.Lock()
		r.load.Spilled += m["flows_spilled_total"]
		r.load.RejectedByUse += m["flows_rejected_use_total"]
		r.load.RejectedByLink += m["flows_rejected_link_total"]
		r.load.ReportsReceived += m["load_reports_received_total"]
		r.mu.Unlock()
	}
}

var metricPattern = regexp.MustCompile(`(?m)^wasabideal_(\w+) (\d+)$`)

// metrics returns the metrics of the process at an address, none if it does not answer.
func (r *Run) metrics(address string) map[string]int {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", address, MetricsPort))
	if err != nil {
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return nil
	}
	out := map[string]int{}
	for _, m := range metricPattern.FindAllStringSubmatch(string(b), -1) {
		out[m[1]], _ = strconv.Atoi(m[2])
	}
	return out
}
