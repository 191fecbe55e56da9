package run

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/daemon/balancer"
	"wasabideal/internal/standin/requester"
)

const (
	messageTimeout    = 6 * time.Second
	requestTimeout    = 5 * time.Second
	requestRate       = 40
	messageInterval   = 400 * time.Millisecond
	pollInterval      = 20 * time.Millisecond
	readyTimeout      = 8 * time.Second
	propagationLimit  = 5 * time.Second
	drainLimitSeconds = 3.0
	// maxLeftUnknown limits the number of requests whose outcome cannot be determined: the killed
	// balancer may have forwarded them just before the kill.
	maxLeftUnknown = 8
	maxImbalance   = 1.5
)

// Result is the last line of output, as counted by callers and upstreams.
type Result struct {
	// WrongBytes counts messages and requests with a wrong reply.
	Flows, BrokenFlows, Misdelivered, WrongBytes int
	Imbalance                                    float64
	Requests, DoubleRun, FalseNotRun             int
	Unanswered, LeftUnknown, NotRun, Unknown     int
	RequestP99Seconds                            float64
	PresetSeconds, DrainSeconds                  float64
	LongestWaitSeconds                           float64
	ControlBytesPerSecond                        float64
	Broken                                       []string `json:",omitempty"`
}

// PromiseError lists the guarantees that a run violated.
type PromiseError struct{ Broken []string }

func (e *PromiseError) Error() string { return fmt.Sprintf("guarantees violated: %v", e.Broken) }

// Demo is one run of the demonstration.
type Demo struct {
	out        io.Writer
	cluster    *cluster
	result     Result
	started    time.Time
	stop       chan struct{}
	openerDone chan struct{}
	// requests sends HTTP requests to the service orders.
	requests     *requester.Requester
	requestsDone chan struct{}
	stopRequests context.CancelFunc
}

// New returns a demonstration that writes its progress to out.
func New(out io.Writer) *Demo {
	return &Demo{out: out, stop: make(chan struct{}), openerDone: make(chan struct{}), requestsDone: make(chan struct{})}
}

func (d *Demo) printf(format string, a ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, a...))
}

// Run executes all steps and prints the result as one JSON line.
func (d *Demo) Run(ctx context.Context, log hclog.Logger) error {
	d.started = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if d.cluster, err = newCluster(ctx, log); err != nil {
		return err
	}
	defer d.cluster.close()
	for _, step := range []func(context.Context) error{
		d.start, d.openFlows, d.switchPreset, d.drainUpstream, d.stopBalancer, d.killBalancer, d.joinBalancer,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.finish()
}

// waitUntil polls a condition until the condition holds or the limit has passed. The result is
// whether the condition holds.
func waitUntil(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ok() {
			return true
		}
	}
	return ok()
}

// NotReadyError reports a state that was not reached in time.
type NotReadyError struct{ What string }

func (e *NotReadyError) Error() string { return "timed out waiting for " + e.What }

func (d *Demo) start(ctx context.Context) error {
	d.printf("starting 3 voters and 6 balancers in 3 zones")
	for i := range 6 {
		if _, err := d.cluster.addBalancer(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	c := demoConfiguration()
	if _, err := d.change(ctx, ledger.Change{ChangeKey: "demo-apply", Apply: &c}); err != nil {
		return err
	}
	d.printf("configuration accepted")
	for i := range 9 {
		if err := d.cluster.addUpstream("orders", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := d.cluster.addUpstream("notes", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	ready := waitUntil(readyTimeout, func() bool {
		return lo.EveryBy(d.cluster.live(), func(b *balancer.Balancer) bool {
			s := b.Status()
			return s.Revision == 1 && len(s.Members) == 6 && len(s.Upstreams) == 12
		})
	})
	if !ready {
		return &NotReadyError{What: "balancers with configuration, members and upstreams"}
	}
	d.printf("ready: revision 1 active, 12 upstreams announced")
	return nil
}

func (d *Demo) change(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c.Who = "demo"
	return d.cluster.operator.Change(ctx, c)
}

// openFlows opens most flows in quick succession and the other flows at a lower rate in the
// background.
func (d *Demo) openFlows(ctx context.Context) error {
	services := demoConfiguration().Services
	open := func(i int) {
		s := services[0]
		if i%4 == 3 {
			s = services[1]
		}
		d.cluster.callers.Open(s.Addresses[0], messageInterval)
	}
	for i := range 400 {
		open(i)
		time.Sleep(time.Millisecond)
	}
	go func() {
		defer close(d.openerDone)
		t := time.NewTicker(20 * time.Millisecond)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-d.stop:
				return
			case <-ctx.Done():
				return
			case <-t.C:
				open(i)
			}
		}
	}()
	time.Sleep(time.Second)
	d.printf("%d flows open, 50 more per second", d.cluster.callers.Counts().Established)
	d.startRequests(ctx)
	return nil
}

// startRequests starts sending requests to random balancers; each request may run at most once.
func (d *Demo) startRequests(ctx context.Context) {
	d.requests = requester.New(requester.Settings{
		Service: "orders", HTTPAddresses: func() []string { return d.cluster.httpAddresses("orders") }, Runs: d.cluster.runCount,
		Timeout: requestTimeout, Seed: 1,
	})
	ctx, d.stopRequests = context.WithCancel(ctx)
	go func() {
		defer close(d.requestsDone)
		d.requests.Run(ctx, requestRate)
	}()
	d.printf("%d requests per second, a tenth of them sent twice concurrently", requestRate)
}

func (d *Demo) switchPreset(ctx context.Context) error {
	begin := time.Now()
	a, err := d.change(ctx, ledger.Change{ChangeKey: "demo-peak", ExpectRevision: 1, UsePreset: "peak"})
	if err != nil {
		return err
	}
	propagated := waitUntil(propagationLimit, func() bool {
		return lo.EveryBy(d.cluster.live(), func(b *balancer.Balancer) bool {
			s := b.Status()
			return s.Revision == a.Revision && s.InForce == "peak"
		})
	})
	if !propagated {
		return &NotReadyError{What: "preset active on all balancers"}
	}
	d.result.PresetSeconds = time.Since(begin).Seconds()
	d.printf("preset peak active on all balancers after %.3f s", d.result.PresetSeconds)
	return nil
}

func (d *Demo) drainUpstream(ctx context.Context) error {
	u := d.cluster.upstreams[0]
	begin := time.Now()
	if err := u.Drain(ctx); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	d.result.DrainSeconds = max(u.Counts().LastArrival.Sub(begin).Seconds(), 0)
	d.printf("upstream %s drained: last new flow or request after %.3f s, %d flows still open", u.Settings().Name, d.result.DrainSeconds, u.Counts().Open)
	return nil
}

// stopBalancer shuts down one balancer gracefully; the fabric sends packets to it
// until it has stopped.
func (d *Demo) stopBalancer(ctx context.Context) error {
	b := d.cluster.detach("balancer-2")
	begin := time.Now()
	err := b.Stop(ctx)
	d.cluster.fabric.Remove(b.Addresses().Fabric)
	if err != nil {
		return err
	}
	d.printf("balancer-2 shut down gracefully in %.1f s", time.Since(begin).Seconds())
	return nil
}

// killBalancer kills one balancer without a shutdown; the fabric removes it one second later.
func (d *Demo) killBalancer(context.Context) error {
	b := d.cluster.detach("balancer-3")
	b.Kill()
	time.Sleep(time.Second)
	d.cluster.fabric.Remove(b.Addresses().Fabric)
	d.printf("balancer-3 killed")
	time.Sleep(3 * time.Second)
	return nil
}

func (d *Demo) joinBalancer(context.Context) error {
	name, err := d.cluster.addBalancer(zones[1])
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	d.printf("%s joined", name)
	return nil
}

// finish waits for outstanding replies, then collects and checks the result.
func (d *Demo) finish() error {
	close(d.stop)
	d.stopRequests()
	<-d.openerDone
	<-d.requestsDone
	time.Sleep(time.Second)
	c := d.cluster.callers.Counts()
	r := &d.result
	r.Flows, r.BrokenFlows, r.WrongBytes = c.Established, c.BrokenFlows, c.WrongBytes
	r.LongestWaitSeconds = c.MaxLatency.Seconds()
	for _, u := range d.cluster.upstreams {
		r.Misdelivered += u.Counts().Misdelivered
	}
	q := d.requests.Counts()
	r.Requests, r.DoubleRun, r.FalseNotRun, r.Unanswered = q.Requests, q.DoubleRun, q.FalseNotRun, q.Unanswered
	r.LeftUnknown = q.LeftUnknown
	r.NotRun, r.Unknown, r.RequestP99Seconds = q.NotRun, q.Unknown, q.P99.Seconds()
	r.WrongBytes += q.WrongBody
	r.Imbalance = max(d.cluster.imbalance("orders"), d.cluster.imbalance("notes"))
	r.ControlBytesPerSecond = d.maxControlRate()
	r.Broken = r.violations()
	if len(c.Reasons) > 0 {
		d.printf("reasons of broken flows: %v", c.Reasons)
	}
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	_, _ = fmt.Fprintln(d.out, string(line))
	if len(r.Broken) > 0 {
		return &PromiseError{Broken: r.Broken}
	}
	return nil
}

// maxControlRate returns the highest control traffic of a live balancer, in bytes per second since
// the start of the demonstration.
func (d *Demo) maxControlRate() float64 {
	highest := 0.0
	for _, b := range d.cluster.live() {
		s := b.Status()
		highest = max(highest, float64(s.Swim.SentBytes+s.Router.RepairBytes)/time.Since(d.started).Seconds())
	}
	return highest
}

// violations returns the names of the guarantees that the result violates. They appear in
// Result.Broken and stay unchanged.
func (r *Result) violations() []string {
	guarantees := []struct {
		name  string
		holds bool
	}{
		{"established flows survive", r.BrokenFlows == 0 && r.Flows > 0},
		{"no packet reaches another service", r.Misdelivered == 0},
		{"answers are whole", r.WrongBytes == 0},
		{"requests are answered", r.Requests > 0 && r.Unanswered == 0 && r.LeftUnknown <= maxLeftUnknown},
		{"an unrepeatable request runs at most once", r.DoubleRun == 0},
		{"not run is true", r.FalseNotRun == 0},
		{"a preset is in force within seconds", r.PresetSeconds < propagationLimit.Seconds()},
		{"a leaving upstream gets no new work after seconds", r.DrainSeconds <= drainLimitSeconds},
		{"new flows are spread fairly", r.Imbalance > 0 && r.Imbalance <= maxImbalance},
	}
	var violated []string
	for _, g := range guarantees {
		if !g.holds {
			violated = append(violated, g.name)
		}
	}
	return violated
}
