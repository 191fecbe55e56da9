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
	callerTimeout  = 6 * time.Second
	requestTimeout = 5 * time.Second
	requestRate    = 40
	feedEvery      = 400 * time.Millisecond
	poll           = 20 * time.Millisecond
	readyTimeout   = 8 * time.Second
	spreadLimit    = 5 * time.Second
	drainLimit     = 3.0
	// leftUnknownMost is the requests that the balancer which dies may have sent
	// a moment before: nobody can know their fate.
	leftUnknownMost = 8
	imbalanceMost   = 1.5
)

// Result is the last line of a demonstration, counted by callers and upstreams.
type Result struct {
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

// PromiseError names the promises that a run broke.
type PromiseError struct{ Broken []string }

func (e *PromiseError) Error() string { return fmt.Sprintf("promises broken: %v", e.Broken) }

// Demo is one run.
type Demo struct {
	out    io.Writer
	site   *site
	result Result
	begun  time.Time
	stop   chan struct{}
	opened chan struct{}
	// requests are the callers of the orders' doors.
	requests *requester.Requester
	placed   chan struct{}
	placing  context.CancelFunc
}

// New returns a demonstration that tells its progress on out.
func New(out io.Writer) *Demo {
	return &Demo{out: out, stop: make(chan struct{}), opened: make(chan struct{}), placed: make(chan struct{})}
}

func (d *Demo) say(format string, a ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.begun).Seconds(), fmt.Sprintf(format, a...))
}

// Run plays the whole scene and prints the result as one JSON line.
func (d *Demo) Run(ctx context.Context, log hclog.Logger) error {
	d.begun = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if d.site, err = newSite(ctx, log); err != nil {
		return err
	}
	defer d.site.close()
	for _, scene := range []func(context.Context) error{
		d.start, d.openFlows, d.switchPreset, d.drainUpstream, d.stopBalancer, d.killBalancer, d.joinBalancer,
	} {
		if err := scene(ctx); err != nil {
			return err
		}
	}
	return d.finish()
}

// until waits for a condition, at most for a time.
func until(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		if ok() {
			return true
		}
	}
	return ok()
}

// NotReadyError says what did not happen in time.
type NotReadyError struct{ What string }

func (e *NotReadyError) Error() string { return "not in time: " + e.What }

func (d *Demo) start(ctx context.Context) error {
	d.say("starting 3 voters and 6 balancers in 3 zones")
	for i := range 6 {
		if _, err := d.site.addBalancer(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	c := demoConfiguration()
	if _, err := d.change(ctx, ledger.Change{ChangeKey: "demo-apply", Apply: &c}); err != nil {
		return err
	}
	d.say("configuration accepted")
	for i := range 9 {
		if err := d.site.addUpstream("orders", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := d.site.addUpstream("notes", zones[i%len(zones)]); err != nil {
			return err
		}
	}
	ready := until(readyTimeout, func() bool {
		return lo.EveryBy(d.site.live(), func(b *balancer.Balancer) bool {
			s := b.Status()
			return s.Revision == 1 && len(s.Members) == 6 && len(s.Upstreams) == 12
		})
	})
	if !ready {
		return &NotReadyError{What: "balancers with configuration, members and upstreams"}
	}
	d.say("ready: revision 1 in force, 12 upstreams announced")
	return nil
}

func (d *Demo) change(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	c.Who = "demo"
	return d.site.operator.Change(ctx, c)
}

// openFlows opens most flows at once and then goes on at a slower pace.
func (d *Demo) openFlows(ctx context.Context) error {
	services := demoConfiguration().Services
	open := func(i int) {
		s := services[0]
		if i%4 == 3 {
			s = services[1]
		}
		d.site.callers.Open(s.Addresses[0], feedEvery)
	}
	for i := range 400 {
		open(i)
		time.Sleep(time.Millisecond)
	}
	go func() {
		defer close(d.opened)
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
	d.say("%d flows open, 50 more each second", d.site.callers.Counts().Established)
	d.placeRequests(ctx)
	return nil
}

// placeRequests lets callers place nominations that may run once, at any door.
func (d *Demo) placeRequests(ctx context.Context) {
	d.requests = requester.New(requester.Settings{
		Service: "orders", HTTPAddresses: func() []string { return d.site.doors("orders") }, Runs: d.site.runs,
		Timeout: requestTimeout, Seed: 1,
	})
	ctx, d.placing = context.WithCancel(ctx)
	go func() {
		defer close(d.placed)
		d.requests.Run(ctx, requestRate)
	}()
	d.say("%d nominations a second, a tenth of them sent twice at once", requestRate)
}

func (d *Demo) switchPreset(ctx context.Context) error {
	begin := time.Now()
	a, err := d.change(ctx, ledger.Change{ChangeKey: "demo-peak", ExpectRevision: 1, UsePreset: "peak"})
	if err != nil {
		return err
	}
	everywhere := until(spreadLimit, func() bool {
		return lo.EveryBy(d.site.live(), func(b *balancer.Balancer) bool {
			s := b.Status()
			return s.Revision == a.Revision && s.InForce == "peak"
		})
	})
	if !everywhere {
		return &NotReadyError{What: "preset in force everywhere"}
	}
	d.result.PresetSeconds = time.Since(begin).Seconds()
	d.say("preset peak in force everywhere after %.3f s", d.result.PresetSeconds)
	return nil
}

func (d *Demo) drainUpstream(ctx context.Context) error {
	u := d.site.upstreams[0]
	begin := time.Now()
	if err := u.Drain(ctx); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	d.result.DrainSeconds = max(u.Counts().LastArrival.Sub(begin).Seconds(), 0)
	d.say("upstream %s drained: last new work after %.3f s, %d flows stay", u.Settings().Name, d.result.DrainSeconds, u.Counts().Open)
	return nil
}

// stopBalancer ends one balancer in the planned way; the fabric goes on handing
// it packets until it is gone.
func (d *Demo) stopBalancer(ctx context.Context) error {
	b := d.site.take("balancer-2")
	begin := time.Now()
	err := b.Stop(ctx)
	d.site.fabric.Remove(b.Addresses().Fabric)
	if err != nil {
		return err
	}
	d.say("balancer-2 stopped as planned in %.1f s", time.Since(begin).Seconds())
	return nil
}

// killBalancer ends one balancer dead; the fabric notices a second later.
func (d *Demo) killBalancer(context.Context) error {
	b := d.site.take("balancer-3")
	b.Kill()
	time.Sleep(time.Second)
	d.site.fabric.Remove(b.Addresses().Fabric)
	d.say("balancer-3 died")
	time.Sleep(3 * time.Second)
	return nil
}

func (d *Demo) joinBalancer(context.Context) error {
	name, err := d.site.addBalancer(zones[1])
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	d.say("%s joined", name)
	return nil
}

// finish lets the last messages be answered, and counts.
func (d *Demo) finish() error {
	close(d.stop)
	d.placing()
	<-d.opened
	<-d.placed
	time.Sleep(time.Second)
	c := d.site.callers.Counts()
	r := &d.result
	r.Flows, r.BrokenFlows, r.WrongBytes = c.Established, c.BrokenFlows, c.WrongBytes
	r.LongestWaitSeconds = c.MaxLatency.Seconds()
	for _, u := range d.site.upstreams {
		r.Misdelivered += u.Counts().Misdelivered
	}
	q := d.requests.Counts()
	r.Requests, r.DoubleRun, r.FalseNotRun, r.Unanswered = q.Requests, q.DoubleRun, q.FalseNotRun, q.Unanswered
	r.LeftUnknown = q.LeftUnknown
	r.NotRun, r.Unknown, r.RequestP99Seconds = q.NotRun, q.Unknown, q.P99.Seconds()
	r.WrongBytes += q.WrongBody
	r.Imbalance = max(d.site.imbalance("orders"), d.site.imbalance("notes"))
	r.ControlBytesPerSecond = d.controlBytes()
	r.Broken = r.judge()
	if len(c.Reasons) > 0 {
		d.say("flows broken by: %v", c.Reasons)
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

func (d *Demo) controlBytes() float64 {
	most := 0.0
	for _, b := range d.site.live() {
		s := b.Status()
		most = max(most, float64(s.Swim.SentBytes+s.Router.RepairBytes)/time.Since(d.begun).Seconds())
	}
	return most
}

// judge names the promises that the figures break.
func (r *Result) judge() []string {
	promises := []struct {
		name string
		kept bool
	}{
		{"established flows survive", r.BrokenFlows == 0 && r.Flows > 0},
		{"no packet reaches another service", r.Misdelivered == 0},
		{"answers are whole", r.WrongBytes == 0},
		{"requests are answered", r.Requests > 0 && r.Unanswered == 0 && r.LeftUnknown <= leftUnknownMost},
		{"an unrepeatable request runs at most once", r.DoubleRun == 0},
		{"not run is true", r.FalseNotRun == 0},
		{"a preset is in force within seconds", r.PresetSeconds < spreadLimit.Seconds()},
		{"a leaving upstream gets no new work after seconds", r.DrainSeconds <= drainLimit},
		{"new flows are spread fairly", r.Imbalance > 0 && r.Imbalance <= imbalanceMost},
	}
	var broken []string
	for _, p := range promises {
		if !p.kept {
			broken = append(broken, p.name)
		}
	}
	return broken
}
