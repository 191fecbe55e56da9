package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings bound one service's dispatch at one balancer.
type Settings struct {
	// SlotLimit caps requests in flight per upstream, whatever it announces.
	SlotLimit int
	// QueueLimit caps requests that wait.
	QueueLimit int
	// RetryPercent is the retry budget as a share of first attempts.
	RetryPercent int
}

// Target is an upstream that takes requests.
type Target struct {
	Name  string
	Slots int
	// Share is 1 for a warm upstream, less while it starts cold.
	Share float64
	// Home is set where this balancer is the slot's own: balancers divide the
	// slots among themselves, so that they meet at one slot only under load.
	Home int
}

// Request is one that wants an upstream.
type Request struct {
	ID       uint64
	Deadline time.Time
	// Priority orders the queue; a higher one goes first.
	Priority int
	// Avoid names upstreams that refused or failed this request.
	Avoid []string
	// Since is when the request arrived; Offer sets it where it is zero.
	Since time.Time
}

// NotRunError says, at once, that a request was given up unrun.
type NotRunError struct {
	Reason string
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

func (e *NotRunError) Error() string { return "not run: " + e.Reason }

// The reasons for giving a request up.
const (
	ReasonNoUpstream = "no upstream takes requests"
	ReasonQueueFull  = "queue is full"
	ReasonDeadline   = "deadline comes before a slot can be free"
	ReasonPushedOut  = "requests of higher priority fill the queue"
)

// Decision sends a request to a target, or gives it up.
type Decision struct {
	ID     uint64
	Target string
	Err    *NotRunError
}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Answered Result = iota
	// Shed: the upstream refused the request unrun.
	Shed
	// Failed: no answer, or one that says that the upstream is broken.
	Failed
	// Cancelled: the caller went away; nothing is learned.
	Cancelled
)

type target struct {
	Target
	outstanding int
	shedUntil   time.Time
	shedStreak  int
	failures    int
	ejectedTo   time.Time
	ejections   int
	known       bool
}

const (
	// shedMemory is how long a refusal is remembered at first, in mean service times.
	shedMemory = 0.5
	// shedStreakLimit bounds the doubling of that memory.
	shedStreakLimit = 3
	// borrowAfter is the wait, in mean service times, from which a request may
	// try slots that are another balancer's.
	borrowAfter     = 0.3
	failuresToEject = 3
	ejectFor        = 2 * time.Second
	ejectLimit      = 5
	// keepShare is the part of a pool that is never ejected.
	keepShare   = 0.5
	meanWeight  = 0.05
	firstMean   = 20 * time.Millisecond
	leastMean   = time.Millisecond
	budgetLimit = 10.0
	budgetStart = 3.0
	// patience is the mean service times that a queue estimate may be wrong by.
	leastRetryAfter = 100 * time.Millisecond
)

// Dispatch is the state of one service at one balancer; one goroutine owns it.
type Dispatch struct {
	settings Settings
	random   *rand.Rand
	targets  map[string]*target
	order    []*target
	queue    []Request
	mean     time.Duration
	budget   float64
}

// New returns a dispatch without targets.
func New(s Settings, seed uint64) *Dispatch {
	return &Dispatch{
		settings: s, random: rand.New(rand.NewPCG(seed, 5)), targets: map[string]*target{},
		mean: firstMean, budget: budgetStart,
	}
}

// SetSettings takes the limits of another preset.
func (d *Dispatch) SetSettings(s Settings) { d.settings = s }

// SetTargets replaces the upstreams that take requests; those that are gone
// keep their requests in flight.
func (d *Dispatch) SetTargets(ts []Target) {
	for _, t := range d.targets {
		t.known = false
	}
	for _, x := range ts {
		t := d.targets[x.Name]
		if t == nil {
			t = &target{}
			d.targets[x.Name] = t
		}
		t.Target, t.known = x, true
	}
	d.order = d.order[:0]
	for name, t := range d.targets {
		if !t.known && t.outstanding == 0 {
			delete(d.targets, name)
			continue
		}
		if t.known {
			d.order = append(d.order, t)
		}
	}
	slices.SortFunc(d.order, func(a, b *target) int { return cmp.Compare(a.Name, b.Name) })
}

// Queued returns the number of requests that wait.
func (d *Dispatch) Queued() int { return len(d.queue) }

// Offer takes a new request: it is sent, waits, or is given up at once.
func (d *Dispatch) Offer(now time.Time, r Request) []Decision {
	if r.Since.IsZero() {
		r.Since = now
	}
	d.budget = min(d.budget+float64(d.settings.RetryPercent)/100, budgetLimit)
	return d.place(now, r)
}

// MayRetry takes one retry after a failure out of the budget; without one, a
// pool that lost most of its upstreams would be kept down by repeats.
func (d *Dispatch) MayRetry() bool {
	if d.budget < 1 {
		return false
	}
	d.budget--
	return true
}

// Again offers a request anew after a shed or failed attempt.
func (d *Dispatch) Again(now time.Time, r Request) []Decision { return d.place(now, r) }

func (d *Dispatch) place(now time.Time, r Request) []Decision {
	if len(d.order) == 0 {
		return d.giveUp(r, ReasonNoUpstream)
	}
	if len(d.queue) == 0 {
		if t := d.pick(now, r); t != nil {
			return []Decision{d.send(r, t)}
		}
	}
	if d.hopeless(now, r) {
		return d.giveUp(r, ReasonDeadline)
	}
	return d.enqueue(r)
}

// hopeless says that the queue before the request will take longer than its
// deadline leaves; it is told now, so that its caller can go elsewhere.
func (d *Dispatch) hopeless(now time.Time, r Request) bool {
	before := 0
	for _, q := range d.queue {
		if q.Priority >= r.Priority {
			before++
		}
	}
	return now.Add(d.wait(before) + d.mean).After(r.Deadline)
}

// wait estimates the time until n queued requests are gone: this balancer's own
// part of the slots serves them.
func (d *Dispatch) wait(n int) time.Duration {
	slots := 0
	for _, t := range d.order {
		slots += max(t.Home, 0)
	}
	return d.mean * time.Duration(n) / time.Duration(max(slots, 1))
}

func (d *Dispatch) enqueue(r Request) []Decision {
	var given []Decision
	if len(d.queue) >= d.settings.QueueLimit {
		last := len(d.queue) - 1
		if last < 0 || d.queue[last].Priority >= r.Priority {
			return d.giveUp(r, ReasonQueueFull)
		}
		given = d.giveUp(d.queue[last], ReasonPushedOut)
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
	return given
}

func (d *Dispatch) giveUp(r Request, reason string) []Decision {
	after := max(d.wait(len(d.queue))+d.mean, leastRetryAfter)
	return []Decision{{ID: r.ID, Err: &NotRunError{Reason: reason, RetryAfter: after}}}
}

func (d *Dispatch) send(r Request, t *target) Decision {
	t.outstanding++
	return Decision{ID: r.ID, Target: t.Name}
}

// Done notes how an attempt ended, and sends what may go next.
func (d *Dispatch) Done(now time.Time, name string, result Result, took time.Duration) []Decision {
	t := d.targets[name]
	if t == nil {
		return nil
	}
	t.outstanding--
	switch result {
	case Answered:
		t.shedStreak, t.failures, t.ejections = 0, 0, 0
		d.mean = max(time.Duration((1-meanWeight)*float64(d.mean)+meanWeight*float64(took)), leastMean)
	case Shed:
		d.shed(now, t)
	case Failed:
		d.failed(now, t)
	case Cancelled:
	}
	return d.Tick(now)
}

// Tick gives up requests whose time is over and sends those that may go.
func (d *Dispatch) Tick(now time.Time) []Decision {
	var out []Decision
	for i := 0; i < len(d.queue); {
		r := d.queue[i]
		if now.Add(d.mean).After(r.Deadline) || len(d.order) == 0 {
			out = append(out, d.giveUp(r, ReasonDeadline)...)
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

// Withdraw takes a waiting request back whose caller is gone.
func (d *Dispatch) Withdraw(id uint64) {
	d.queue = slices.DeleteFunc(d.queue, func(r Request) bool { return r.ID == id })
}

// String tells the state in one line, for logs.
func (d *Dispatch) String() string {
	return fmt.Sprintf("queued %d, targets %d, mean %s, budget %.1f", len(d.queue), len(d.order), d.mean, d.budget)
}
