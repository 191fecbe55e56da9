package run

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"

	"wasabideal/internal/standin/caller"
	"wasabideal/internal/standin/fabric"
	"wasabideal/internal/standin/requester"
	"wasabideal/internal/standin/upstream"
)

// Settings configures a load run.
type Settings struct {
	Service string
	// Address is the configured address of the service.
	Address netip.AddrPort
	Token   string
	Zone    string
	// AdminAddresses, FabricAddresses and HTTPAddresses are addresses of balancers.
	AdminAddresses  []string
	FabricAddresses []netip.AddrPort
	HTTPAddresses   []string
	Upstreams       int
	Flows           int
	// Every is the mean interval between two messages of a flow.
	Every time.Duration
	// Rate is the number of requests per second; 0 disables requests.
	Rate     float64
	Duration time.Duration
}

const (
	messageTimeout   = 10 * time.Second
	requestTimeout   = 10 * time.Second
	announceInterval = time.Second
	// announceWait is the time for announcements to reach all balancers.
	announceWait = 2 * time.Second
	// openInterval is the time between the starts of two flows, slots the capacity of an upstream.
	openInterval     = 500 * time.Microsecond
	slots            = 2
	meanServiceTime  = 20 * time.Millisecond
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
)

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct{ P50, P99, P999 float64 }

// Result holds the counts and latencies of a load run.
type Result struct {
	// WrongBytes counts messages and requests with a wrong reply.
	Flows, Messages, BrokenFlows, WrongBytes, Misdelivered int
	MessageMillis                                          Quantiles
	Requests, Answered, NotRun, Unknown                    int
	Unanswered, LeftUnknown                                int
	DoubleRun, FalseNotRun                                 int
	RequestMillis                                          Quantiles
	// Imbalance is the number of open flows of the most loaded upstream, divided by the mean.
	Imbalance float64
}

// Load is a load run.
type Load struct {
	settings  Settings
	fabric    *fabric.Fabric
	callers   *caller.Caller
	upstreams []*upstream.Upstream
}

// New returns a load run; Run starts it.
func New(s Settings) *Load { return &Load{settings: s} }

// Run generates the load for the configured duration and returns the result.
func (l *Load) Run(ctx context.Context) (Result, error) {
	defer l.close()
	if err := l.start(ctx); err != nil {
		return Result{}, err
	}
	for range l.settings.Flows {
		l.callers.Open(l.settings.Address, l.settings.Every)
		time.Sleep(openInterval)
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.Duration)
	defer cancel()
	requests := requester.New(requester.Settings{
		Service: l.settings.Service, HTTPAddresses: func() []string { return l.settings.HTTPAddresses }, Runs: l.runCount,
		Timeout: requestTimeout, Seed: uint64(time.Now().UnixNano()),
	})
	if l.settings.Rate > 0 && len(l.settings.HTTPAddresses) > 0 {
		requests.Run(ctx, l.settings.Rate)
	}
	<-ctx.Done()
	return l.result(requests.Counts()), nil
}

func (l *Load) start(ctx context.Context) error {
	var err error
	if l.fabric, err = fabric.New(1); err != nil {
		return err
	}
	for _, a := range l.settings.FabricAddresses {
		l.fabric.Add(a)
	}
	if l.callers, err = caller.New(l.fabric, uint64(time.Now().UnixNano()), messageTimeout); err != nil {
		return err
	}
	for i := range l.settings.Upstreams {
		u, err := upstream.Start(ctx, upstream.Settings{
			Name: fmt.Sprintf("%s-%d", l.settings.Service, i), Service: l.settings.Service, Zone: l.settings.Zone,
			Token: l.settings.Token, Addresses: []netip.AddrPort{l.settings.Address}, Slots: slots, MeanServiceTime: meanServiceTime,
			Callers: l.callers.Address(), Balancers: func() []string { return l.settings.AdminAddresses },
			AnnounceInterval: announceInterval, Seed: uint64(i),
		})
		if err != nil {
			return err
		}
		l.upstreams = append(l.upstreams, u)
	}
	time.Sleep(announceWait)
	return nil
}

func (l *Load) runCount(key string) int {
	return lo.SumBy(l.upstreams, func(u *upstream.Upstream) int { return u.RunCount(key) })
}

func (l *Load) result(q requester.Counts) Result {
	c := l.callers.Counts()
	r := Result{
		Flows: c.Established, Messages: c.Messages, BrokenFlows: c.BrokenFlows, WrongBytes: c.WrongBytes + q.WrongBody,
		Requests: q.Requests, Answered: q.Answered, NotRun: q.NotRun, Unknown: q.Unknown, Unanswered: q.Unanswered, LeftUnknown: q.LeftUnknown,
		DoubleRun: q.DoubleRun, FalseNotRun: q.FalseNotRun,
		RequestMillis: Quantiles{millis(q.P50), millis(q.P99), millis(q.P999)},
		MessageMillis: quantiles(l.callers.TakeLatencies()),
	}
	open := lo.Map(l.upstreams, func(u *upstream.Upstream, _ int) int { return u.Counts().Open })
	r.Misdelivered = lo.SumBy(l.upstreams, func(u *upstream.Upstream) int { return u.Counts().Misdelivered })
	if total := lo.Sum(open); total > 0 {
		r.Imbalance = float64(slices.Max(open)) * float64(len(open)) / float64(total)
	}
	return r
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func quantiles(latencies []time.Duration) Quantiles {
	h := hdrhistogram.New(1, maxLatencyMicros, 3)
	for _, l := range latencies {
		_ = h.RecordValue(l.Microseconds())
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(99), at(99.9)}
}

func (l *Load) close() {
	if l.callers != nil {
		l.callers.Close()
	}
	for _, u := range l.upstreams {
		u.Kill()
	}
	if l.fabric != nil {
		l.fabric.Close()
	}
}

// Print writes the result as a human-readable table.
func (r Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"flows", r.Flows},
		{"messages", r.Messages},
		{"broken flows", r.BrokenFlows},
		{"wrong bytes", r.WrongBytes},
		{"misdelivered packets", r.Misdelivered},
		{"message p50/p99/p99.9 ms", fmt.Sprintf("%.2f / %.2f / %.2f", r.MessageMillis.P50, r.MessageMillis.P99, r.MessageMillis.P999)},
		{"imbalance max/mean", fmt.Sprintf("%.3f", r.Imbalance)},
		{"requests", r.Requests},
		{"answered", r.Answered},
		{"not run", r.NotRun},
		{"unknown", r.Unknown},
		{"unanswered", r.Unanswered},
		{"outcome left unknown", r.LeftUnknown},
		{"run more than once", r.DoubleRun},
		{"falsely reported as not run", r.FalseNotRun},
		{"request p50/p99/p99.9 ms", fmt.Sprintf("%.2f / %.2f / %.2f", r.RequestMillis.P50, r.RequestMillis.P99, r.RequestMillis.P999)},
	}
	for _, x := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", x.name, x.value)
	}
	return w.Flush()
}
