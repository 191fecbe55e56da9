package door

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/request/claimer"
	"wasabideal/internal/request/dispatch"
)

// Request and response headers that are not part of HTTP.
const (
	KeyHeader     = "Idempotency-Key"
	OutcomeHeader = "Wasabideal-Outcome"
	RepeatHeader  = "Wasabideal-Repeated"
)

// Values of OutcomeHeader.
const (
	OutcomeAnswered = "Answered"
	OutcomeNotRun   = "NotRun"
	OutcomeUnknown  = "Unknown"
)

const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = time.Minute
	// replayLimit is the largest request body that is buffered for a retry.
	replayLimit = 64 << 10
	// storedResponseLimit is the largest response body that is stored under a request key.
	storedResponseLimit = 4 << 10
	keyLimit            = 128
	maxAttempts         = 24
	tickInterval        = 10 * time.Millisecond
	hopMargin           = 5 * time.Millisecond
	copyBuffer          = 32 << 10
	defaultRetryAfter   = time.Second
)

// Settings configures a Door.
type Settings struct {
	Service string
	// Name of the balancer; it is part of each attempt's identifier.
	Name   string
	Limits dispatch.Settings
	Clock  func() time.Time
}

// Counters holds the totals of a Door since its start.
type Counters struct {
	Requests, Answered, NotRun, Unknown, Repeated, Shed, Retried, Cancelled, Truncated atomic.Int64
}

// Proxy is the HTTP proxy of one service. It is safe for concurrent use.
type Proxy struct {
	settings         Settings
	log              hclog.Logger
	claimer          *claimer.Claimer
	transport        *http.Transport
	oneShotTransport *http.Transport
	mu               sync.Mutex
	dispatch         *dispatch.Dispatcher
	addresses        map[string]string
	waiting          map[uint64]chan dispatch.Decision
	lastID           uint64
	// repeatable allows retries of requests with any method and no key.
	repeatable bool
	priority   int
	Counters   Counters
}

// New returns a Door without upstreams.
func New(s Settings, c *claimer.Claimer, log hclog.Logger) *Proxy {
	return &Proxy{
		settings: s, log: log, claimer: c, dispatch: dispatch.New(s.Limits, xxhash.Sum64String(s.Name+s.Service)),
		transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second},
		// http.Transport resends a request with an Idempotency-Key when a reused
		// connection breaks; on a new connection it never resends.
		oneShotTransport: &http.Transport{DisableKeepAlives: true},
		addresses:        map[string]string{}, waiting: map[uint64]chan dispatch.Decision{},
	}
}

// SetTargets replaces the settings and the upstreams; doors maps an upstream's name
// to its HTTP address.
func (d *Proxy) SetTargets(s dispatch.Settings, ts []dispatch.Target, addresses map[string]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch.SetSettings(s)
	d.dispatch.SetTargets(ts)
	d.addresses = addresses
	d.deliver(d.dispatch.Tick(d.settings.Clock()))
}

// SetService sets the retry policy and the queue priority of the service.
func (d *Proxy) SetService(repeatable bool, priority int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeatable, d.priority = repeatable, priority
}

// Run dispatches and expires queued requests until ctx ends.
func (d *Proxy) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.mu.Lock()
			d.deliver(d.dispatch.Tick(d.settings.Clock()))
			d.mu.Unlock()
		}
	}
}

// deliver sends each decision to the request that waits for it. d.mu must be held.
func (d *Proxy) deliver(ds []dispatch.Decision) {
	for _, x := range ds {
		if w := d.waiting[x.ID]; w != nil {
			delete(d.waiting, x.ID)
			w <- x
		}
	}
}

// ServeHTTP proxies one request.
func (d *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Counters.Requests.Add(1)
	x, err := d.newExchange(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.record.Key != "" && !d.claim(ctx, x) {
		return
	}
	d.serve(ctx, x)
}

// serve attempts the request until it is answered, rejected, or its outcome is
// unknown.
func (d *Proxy) serve(ctx context.Context, x *exchange) {
	ds := d.offer(x)
	for try := 1; ; try++ {
		decision, ok := d.wait(ctx, x, ds)
		if !ok {
			d.reject(x, dispatch.ReasonDeadline, defaultRetryAfter)
			return
		}
		if decision.Err != nil {
			d.reject(x, decision.Err.Reason, decision.Err.RetryAfter)
			return
		}
		retry, done := d.attempt(ctx, x, decision.Target, try)
		if done {
			return
		}
		if !retry || try >= maxAttempts {
			d.reject(x, "every upstream tried refused it", defaultRetryAfter)
			return
		}
		ds = d.retry(x)
	}
}

// reject rejects a request that did not run, and releases its key.
func (d *Proxy) reject(x *exchange, reason string, after time.Duration) {
	if x.claimed {
		d.claimer.Release(x.request.Context(), x.record)
	}
	if x.request.Context().Err() != nil {
		d.Counters.Cancelled.Add(1)
	}
	d.respondNotRun(x, reason, after)
}

func (d *Proxy) dispatchRequest(x *exchange) dispatch.Request {
	return dispatch.Request{ID: x.id, Deadline: x.deadline, Priority: d.priority, Avoid: x.excluded, Since: x.arrived}
}

func (d *Proxy) offer(x *exchange) chan dispatch.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.await(x, d.dispatch.Offer(d.settings.Clock(), d.dispatchRequest(x)))
}

func (d *Proxy) retry(x *exchange) chan dispatch.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.await(x, d.dispatch.Retry(d.settings.Clock(), d.dispatchRequest(x)))
}

func (d *Proxy) await(x *exchange, ds []dispatch.Decision) chan dispatch.Decision {
	w := make(chan dispatch.Decision, 1)
	d.waiting[x.id] = w
	d.deliver(ds)
	return w
}

// wait returns the decision on a request, or false if ctx ends first.
func (d *Proxy) wait(ctx context.Context, x *exchange, w chan dispatch.Decision) (dispatch.Decision, bool) {
	select {
	case decision := <-w:
		return decision, true
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch.Cancel(x.id)
	delete(d.waiting, x.id)
	select {
	case decision := <-w:
		// The decision raced with the end of ctx: release the unused slot.
		if decision.Err == nil {
			d.deliver(d.dispatch.Done(d.settings.Clock(), decision.Target, dispatch.Cancelled, 0))
		}
	default:
	}
	return dispatch.Decision{}, false
}

func (d *Proxy) done(target string, r dispatch.Result, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(d.dispatch.Done(d.settings.Clock(), target, r, took))
}

func (d *Proxy) mayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatch.MayRetry()
}

func (d *Proxy) addressOf(target string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[target]
}
