package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings limits the requests of one service at one balancer.
type Settings struct {
	// SlotLimit is the maximum number of requests in flight per upstream, even if the
	// upstream announces more slots.
	SlotLimit int
	// QueueLimit is the maximum number of queued requests.
	QueueLimit int
	// RetryPercent is the retry budget in percent of first attempts.
	RetryPercent int
}

// Target is an upstream that accepts requests.
type Target struct {
	Name  string
	Slots int
	// Share is the part of the slots that may be used: 1, or less during a slow start.
	Share float64
	// AssignedSlots is the number of slots assigned to this balancer. Only a request that has
	// queued for borrowAfter may use other slots; otherwise balancers would compete for slots.
	AssignedSlots int
}

// Request is a request that needs an upstream.
type Request struct {
	ID       uint64
	Deadline time.Time
	// Priority orders the queue; a request of higher priority goes first.
	Priority int
	// Avoid lists the upstreams that rejected or failed this request.
	Avoid []string
	// Since is the arrival time of the request; Offer sets it if it is zero.
	Since time.Time
}

// NotRunError reports that a request was rejected and did not run.
type NotRunError struct {
	Reason string
	// RetryAfter is the time after which the caller should retry.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// The reasons for rejecting a request.
const (
	ReasonNoUpstream = "no upstream takes requests"
	ReasonQueueFull  = "queue is full"
	ReasonDeadline   = "deadline comes before a slot can be free"
	ReasonDisplaced  = "requests of higher priority fill the queue"
)

// Decision assigns a request to a target, or rejects it if Err is set.
type Decision struct {
	ID     uint64
	Target string
	Err    *NotRunError
}

// Result is the result of an attempt.
type Result uint8

// The results of an attempt.
const (
	Answered Result = iota
	// Shed means that the upstream was full and rejected the request without running it.
	Shed
	// Failed means that there was no response, or a server error.
	Failed
	// Cancelled means that the caller disconnected, which says nothing about the upstream.
	Cancelled
)

type target struct {
	Target
	outstanding  int
	shedUntil    time.Time
	shedStreak   int
	failures     int
	ejectedUntil time.Time
	ejections    int
	// listed is unset if the upstream was removed while requests are in flight to it.
	listed bool
}

const (
	// shedBackoff is the backoff after the first rejection, in mean service times.
	shedBackoff = 0.5
	// shedStreakLimit is the number of consecutive rejections after which the backoff no longer
	// doubles.
	shedStreakLimit = 3
	// borrowAfter is the queueing time, in mean service times, after which a request
	// may use slots assigned to other balancers.
	borrowAfter          = 0.3
	failuresToEject      = 3
	ejectionTime         = 2 * time.Second
	maxEjectionDoublings = 5
	// minUsableShare is the share of the pool that is never ejected.
	minUsableShare = 0.5
	// meanWeight is the weight of a new sample in the mean service time.
	meanWeight         = 0.05
	initialServiceTime = 20 * time.Millisecond
	minServiceTime     = time.Millisecond
	maxRetryBudget     = 10.0
	initialRetryBudget = 3.0
	minRetryAfter      = 100 * time.Millisecond
)

// Dispatcher schedules the requests of one service. It is not safe for concurrent use.
type Dispatcher struct {
	settings        Settings
	random          *rand.Rand
	targets         map[string]*target
	ordered         []*target
	queue           []Request
	meanServiceTime time.Duration
	retryBudget     float64
}

// New returns a Dispatcher without targets.
func New(s Settings, seed uint64) *Dispatcher {
	return &Dispatcher{
		settings: s, random: rand.New(rand.NewPCG(seed, 5)), targets: map[string]*target{},
		meanServiceTime: initialServiceTime, retryBudget: initialRetryBudget,
	}
}

// SetSettings replaces the limits.
func (d *Dispatcher) SetSettings(s Settings) { d.settings = s }

// SetTargets replaces the upstreams that accept requests. Requests in flight at a
// removed upstream continue.
func (d *Dispatcher) SetTargets(ts []Target) {
	for _, t := range d.targets {
		t.listed = false
	}
	for _, x := range ts {
		t := d.targets[x.Name]
		if t == nil {
			t = &target{}
			d.targets[x.Name] = t
		}
		t.Target, t.listed = x, true
	}
	d.ordered = d.ordered[:0]
	for name, t := range d.targets {
		if !t.listed && t.outstanding == 0 {
			delete(d.targets, name)
			continue
		}
		if t.listed {
			d.ordered = append(d.ordered, t)
		}
	}
	slices.SortFunc(d.ordered, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
}

// Queued returns the number of queued requests.
func (d *Dispatcher) Queued() int { return len(d.queue) }

// Offer sends, queues or rejects a new request.
func (d *Dispatcher) Offer(now time.Time, r Request) []Decision {
	if r.Since.IsZero() {
		r.Since = now
	}
	d.retryBudget = min(d.retryBudget+float64(d.settings.RetryPercent)/100, maxRetryBudget)
	return d.schedule(now, r)
}

// TakeRetry takes one retry from the budget and reports whether the budget had one. Without
// a budget, retries would keep a pool that has lost most of its upstreams overloaded.
func (d *Dispatcher) TakeRetry() bool {
	if d.retryBudget < 1 {
		return false
	}
	d.retryBudget--
	return true
}

// Retry sends, queues or rejects a request after a shed or failed attempt.
func (d *Dispatcher) Retry(now time.Time, r Request) []Decision { return d.schedule(now, r) }

func (d *Dispatcher) schedule(now time.Time, r Request) []Decision {
	if len(d.ordered) == 0 {
		return d.reject(r, ReasonNoUpstream)
	}
	if len(d.queue) == 0 {
		if t := d.pick(now, r); t != nil {
			return []Decision{d.send(r, t)}
		}
	}
	if d.missesDeadline(now, r) {
		return d.reject(r, ReasonDeadline)
	}
	return d.enqueue(r)
}

// missesDeadline reports whether the request is expected to finish after its deadline, given
// the queue ahead of it. An immediate rejection lets the caller use another server.
func (d *Dispatcher) missesDeadline(now time.Time, r Request) bool {
	ahead := 0
	for _, q := range d.queue {
		if q.Priority >= r.Priority {
			ahead++
		}
	}
	return now.Add(d.estimateWait(ahead) + d.meanServiceTime).After(r.Deadline)
}

// estimateWait estimates how long the slots assigned to this balancer take to serve a number
// of queued requests.
func (d *Dispatcher) estimateWait(queued int) time.Duration {
	slots := 0
	for _, t := range d.ordered {
		slots += max(t.AssignedSlots, 0)
	}
	return d.meanServiceTime * time.Duration(queued) / time.Duration(max(slots, 1))
}

func (d *Dispatcher) enqueue(r Request) []Decision {
	var rejected []Decision
	if len(d.queue) >= d.settings.QueueLimit {
		last := len(d.queue) - 1
		if last < 0 || d.queue[last].Priority >= r.Priority {
			return d.reject(r, ReasonQueueFull)
		}
		rejected = d.reject(d.queue[last], ReasonDisplaced)
		d.queue = d.queue[:last]
	}
	at, _ := slices.BinarySearchFunc(d.queue, r, func(q, r Request) int {
		if q.Priority != r.Priority {
			return cmp.Compare(r.Priority, q.Priority)
		}
		if c := q.Deadline.Compare(r.Deadline); c != 0 {
			return c
		}
		return -1
	})
	d.queue = slices.Insert(d.queue, at, r)
	return rejected
}

func (d *Dispatcher) reject(r Request, reason string) []Decision {
	after := max(d.estimateWait(len(d.queue))+d.meanServiceTime, minRetryAfter)
	return []Decision{{ID: r.ID, Err: &NotRunError{Reason: reason, RetryAfter: after}}}
}

func (d *Dispatcher) send(r Request, t *target) Decision {
	t.outstanding++
	return Decision{ID: r.ID, Target: t.Name}
}

// Done records the result of an attempt and dispatches queued requests.
func (d *Dispatcher) Done(now time.Time, name string, result Result, took time.Duration) []Decision {
	t := d.targets[name]
	if t == nil {
		return nil
	}
	t.outstanding--
	switch result {
	case Answered:
		t.shedStreak, t.failures, t.ejections = 0, 0, 0
		d.meanServiceTime = max(time.Duration((1-meanWeight)*float64(d.meanServiceTime)+meanWeight*float64(took)), minServiceTime)
	case Shed:
		d.recordShed(now, t)
	case Failed:
		d.recordFailure(now, t)
	case Cancelled:
	}
	return d.Tick(now)
}

// Tick rejects queued requests that can no longer meet their deadline, or all if there is no
// upstream, and sends those for which a slot is free.
func (d *Dispatcher) Tick(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(d.queue); {
		r := d.queue[i]
		if now.Add(d.meanServiceTime).After(r.Deadline) || len(d.ordered) == 0 {
			out = append(out, d.reject(r, ReasonDeadline)...)
			d.queue = slices.Delete(d.queue, i, i+1)
			continue
		}
		t := d.pick(now, r)
		if t == nil {
			i++
			if len(r.Avoid) == 0 {
				break
			}
			continue
		}
		d.queue = slices.Delete(d.queue, i, i+1)
		out = append(out, d.send(r, t))
	}
	return out
}

// Cancel removes a queued request whose caller disconnected.
func (d *Dispatcher) Cancel(id uint64) {
	d.queue = slices.DeleteFunc(d.queue, func(r Request) bool { return r.ID == id })
}

// String formats the state for logs.
func (d *Dispatcher) String() string {
	return fmt.Sprintf("queued %d, targets %d, mean %s, budget %.1f", len(d.queue), len(d.ordered), d.meanServiceTime, d.retryBudget)
}
