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
	// storedResponseLimit is the largest response body that is stored under an idempotency key.
	storedResponseLimit = 4 << 10
	maxKeyBytes         = 128
	maxAttempts         = 24
	tickInterval        = 10 * time.Millisecond
	// hopMargin is subtracted from the caller's remaining time to get the timeout sent to the
	// upstream, so that the upstream's response arrives before the caller's deadline.
	hopMargin         = 5 * time.Millisecond
	copyBuffer        = 32 << 10
	defaultRetryAfter = time.Second
)

// Settings configures a Proxy.
type Settings struct {
	Service string
	// Name of the balancer; it is part of each attempt's identifier.
	Name   string
	Limits dispatch.Settings
	Clock  func() time.Time
}

// Counters holds the totals of a Proxy since its start. Shed counts attempts that a full upstream
// rejected. Repeated counts requests whose key was taken. Truncated counts responses that were not
// forwarded completely, because the upstream or the caller closed its connection.
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
	// repeatable is set if requests without a key may be retried whatever their method.
	repeatable bool
	priority   int
	Counters   Counters
}

// New returns a Proxy without upstreams.
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

// SetTargets replaces the limits and the upstreams; addresses maps an upstream's name to
// its HTTP address.
func (p *Proxy) SetTargets(s dispatch.Settings, ts []dispatch.Target, addresses map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.SetSettings(s)
	p.dispatch.SetTargets(ts)
	p.addresses = addresses
	p.deliver(p.dispatch.Tick(p.settings.Clock()))
}

// SetService sets whether requests without a key may be retried whatever their method, and
// the queue priority of the service.
func (p *Proxy) SetService(repeatable bool, priority int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatable, p.priority = repeatable, priority
}

// Run dispatches and expires queued requests until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.mu.Lock()
			p.deliver(p.dispatch.Tick(p.settings.Clock()))
			p.mu.Unlock()
		}
	}
}

// deliver sends each decision to the request that waits for it. p.mu must be held.
func (p *Proxy) deliver(ds []dispatch.Decision) {
	for _, x := range ds {
		if w := p.waiting[x.ID]; w != nil {
			delete(p.waiting, x.ID)
			w <- x
		}
	}
}

// ServeHTTP proxies one request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.Counters.Requests.Add(1)
	x, err := p.newExchange(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	if x.record.Key != "" && !p.claim(ctx, x) {
		return
	}
	p.serve(ctx, x)
}

// serve attempts the request until it is answered, rejected, or its outcome is
// unknown.
func (p *Proxy) serve(ctx context.Context, x *exchange) {
	ds := p.offer(x)
	for try := 1; ; try++ {
		decision, ok := p.wait(ctx, x, ds)
		if !ok {
			p.reject(x, dispatch.ReasonDeadline, defaultRetryAfter)
			return
		}
		if decision.Err != nil {
			p.reject(x, decision.Err.Reason, decision.Err.RetryAfter)
			return
		}
		retry, done := p.attempt(ctx, x, decision.Target, try)
		if done {
			return
		}
		if !retry || try >= maxAttempts {
			p.reject(x, "every upstream tried refused it", defaultRetryAfter)
			return
		}
		ds = p.retry(x)
	}
}

// reject rejects a request that did not run, and releases its key.
func (p *Proxy) reject(x *exchange, reason string, after time.Duration) {
	if x.claimed {
		p.claimer.Release(x.request.Context(), x.record)
	}
	if x.request.Context().Err() != nil {
		p.Counters.Cancelled.Add(1)
	}
	p.respondNotRun(x, reason, after)
}

func (p *Proxy) dispatchRequest(x *exchange) dispatch.Request {
	return dispatch.Request{ID: x.id, Deadline: x.deadline, Priority: p.priority, Avoid: x.excluded, Since: x.arrived}
}

func (p *Proxy) offer(x *exchange) chan dispatch.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.await(x, p.dispatch.Offer(p.settings.Clock(), p.dispatchRequest(x)))
}

func (p *Proxy) retry(x *exchange) chan dispatch.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.await(x, p.dispatch.Retry(p.settings.Clock(), p.dispatchRequest(x)))
}

// await returns the channel that receives the decision on a request, after delivering the
// decisions ds, which may contain this one. p.mu must be held.
func (p *Proxy) await(x *exchange, ds []dispatch.Decision) chan dispatch.Decision {
	w := make(chan dispatch.Decision, 1)
	p.waiting[x.id] = w
	p.deliver(ds)
	return w
}

// wait returns the decision on a request, or false if ctx ends first.
func (p *Proxy) wait(ctx context.Context, x *exchange, w chan dispatch.Decision) (dispatch.Decision, bool) {
	select {
	case decision := <-w:
		return decision, true
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch.Cancel(x.id)
	delete(p.waiting, x.id)
	select {
	case decision := <-w:
		// The decision raced with the end of ctx: release the unused slot.
		if decision.Err == nil {
			p.deliver(p.dispatch.Done(p.settings.Clock(), decision.Target, dispatch.Cancelled, 0))
		}
	default:
	}
	return dispatch.Decision{}, false
}

func (p *Proxy) done(target string, r dispatch.Result, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.dispatch.Done(p.settings.Clock(), target, r, took))
}

func (p *Proxy) takeRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatch.TakeRetry()
}

func (p *Proxy) addressOf(target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[target]
}
