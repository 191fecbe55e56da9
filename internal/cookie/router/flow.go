package router

import (
	"time"
)

const (
	// openingFor is how long an unanswered opening is remembered; callers give
	// one up after 1.4 s.
	openingFor = 2 * time.Second
	// flowFor is how long a silent flow is remembered for its share of the load.
	flowFor = 15 * time.Second
	// workingFor bounds how long a request counts as under way: its flow may
	// have moved to another balancer in the meantime.
	workingFor = 2 * time.Second
	// flowLimit bounds the flows remembered; more are forwarded all the same,
	// and only do not count as load. A flow takes about 150 bytes here.
	flowLimit = 100_000
	// spareMost bounds the flows that are kept for later ones, 130 bytes each.
	spareMost = 4096
	// sweepEvery is the time between two passes over the remembered flows.
	sweepEvery = 500 * time.Millisecond
)

// flow is what is remembered of one flow that came through this balancer.
type flow struct {
	target *target
	seen   time.Time
	// opened is when its opening was placed here, zero where another balancer did.
	opened time.Time
	// opening is set until the caller shows that its flow is open.
	opening bool
	// sent is when the opening or the request under way was first sent.
	sent    time.Time
	working bool
	// overdue says that the answer is late, and the upstream takes no room for it.
	overdue bool
	// repeated says that the opening or the request had to be sent again, reported
	// that voters were told.
	repeated, reported bool
	// beside is what the service had under way when the request was sent.
	beside int
	// next is the end of what the caller has sent, acknowledged what it has got.
	next, acknowledged uint32
}

func (r *Router) open(now time.Time, k Flow, t *target) {
	if len(r.flows) >= flowLimit {
		return
	}
	f := r.remember(k, flow{target: t, seen: now, opened: now, sent: now, opening: true})
	t.count(1, 0)
	t.sentOne()
	t.zone.refusals.try(now)
	f.wait(now)
}

// remember keeps a flow, in the place of one that ended where there is one: openings make
// no garbage that way.
func (r *Router) remember(k Flow, x flow) *flow {
	var f *flow
	if last := len(r.spare) - 1; last >= 0 {
		f, r.spare = r.spare[last], r.spare[:last]
	} else {
		f = &flow{}
	}
	*f = x
	f.target.flows++
	r.flows[k] = f
	return f
}

// leave takes a flow's load off its target. It waits for nothing from then on, or it would
// count as overdue once it is used again.
func (f *flow) leave() {
	if f.opening {
		f.target.count(-1, 0)
	}
	if f.working {
		f.target.count(0, -1)
	}
	f.setOverdue(false)
	f.opening, f.working = false, false
	f.target.flows--
}

func (r *Router) forget(k Flow, f *flow) {
	f.leave()
	delete(r.flows, k)
	if len(r.spare) < spareMost {
		r.spare = append(r.spare, f)
	}
}

// note learns from a packet of an open flow: answers that the caller got are
// signs of life, a repeated request is a sign of silence.
func (r *Router) note(now time.Time, k Flow, t *target, p Packet) {
	f := r.flows[k]
	if f == nil || f.target != t {
		if f != nil {
			r.forget(k, f)
		}
		if len(r.flows) >= flowLimit {
			return
		}
		f = r.remember(k, flow{target: t, next: p.Sequence, acknowledged: p.Acknowledged})
	}
	f.seen = now
	if f.opening {
		f.opening = false
		t.count(-1, 0)
		r.answeredOnce(now, f)
		tell(r.settings.Opened, now.Sub(f.sent))
		f.next, f.acknowledged = p.Sequence, p.Acknowledged
	}
	if int32(p.Acknowledged-f.acknowledged) > 0 {
		f.acknowledged = p.Acknowledged
		r.answeredOnce(now, f)
		if f.working {
			f.working = false
			t.count(0, -1)
			r.answered(now, f, r.Class(p.Address))
		}
	}
	r.noteData(now, f, t, p)
	if p.Finish || p.Reset {
		r.forget(k, f)
	}
}

// answeredOnce notes a sign of life on a flow.
func (r *Router) answeredOnce(now time.Time, f *flow) {
	r.losses.answered++
	if f.repeated {
		r.losses.repeated++
		f.repeated = false
	}
	f.setOverdue(false)
	r.sawLife(now, f.target)
}

func (r *Router) noteData(now time.Time, f *flow, t *target, p Packet) {
	if p.Length == 0 {
		return
	}
	end := p.Sequence + uint32(p.Length)
	if int32(end-f.next) > 0 {
		f.next = end
		if !f.working {
			f.working, f.sent, f.beside = true, now, t.service.waiting()
			f.repeated, f.reported = false, false
			t.sentOne()
			t.count(0, 1)
			f.wait(now)
		}
		return
	}
	if f.working {
		r.missed(now, p.Address, f)
	}
}

// Flows returns the number of flows remembered.
func (r *Router) Flows() int { return len(r.flows) }

// compare works out which upstreams are slower than others of their service.
func (r *Router) compare(now time.Time) {
	for _, s := range r.services {
		s.compare(now)
	}
}

// Tick forgets what is old; call it ten times a second.
func (r *Router) Tick(now time.Time) {
	r.compare(now)
	for _, s := range r.services {
		s.age(now)
	}
	r.noteRefused(now)
	for _, z := range r.zones {
		z.refusals.fade()
	}
	r.measureLosses()
	if now.Sub(r.swept) < sweepEvery {
		return
	}
	r.swept = now
	r.forgetFormer(now)
	for k, f := range r.flows {
		switch {
		case f.opening && now.Sub(f.sent) > openingFor, now.Sub(f.seen) > flowFor:
			r.forget(k, f)
		case f.working && now.Sub(f.sent) > workingFor:
			f.working = false
			f.target.count(0, -1)
			f.setOverdue(false)
		}
	}
}
