package router

import (
	"time"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/upstream/view"
)

// SharedCookie describes the upstreams that have one cookie.
type SharedCookie struct {
	Cookie uint32
	// Holder is the upstream that the cookie stands for, nil if there is none. Packets with the cookie
	// are then forwarded only if their flow is stored.
	Holder *view.Target
	// Candidates are the upstreams with the cookie that this balancer knows or has known recently.
	Candidates []view.Target
	// Claims are the claims on the cookie.
	Claims []claims.Claim
}

// MergeClaims adds claims of other processes on shared cookies.
func (r *Router) MergeClaims(all claims.Set) {
	r.cookies.Merge(all)
	r.applyCookieChanges()
}

// Claims returns all claims on shared cookies, including those of this balancer.
func (r *Router) Claims() claims.Set { return r.cookies.Claims() }

// SharedCookies returns the number of shared cookies.
func (r *Router) SharedCookies() int { return r.cookies.SharedCookies() }

// WithoutCookie returns the number of upstreams that get no flows because all their cookies stand for other
// upstreams or for none.
func (r *Router) WithoutCookie() int {
	if r.cookies.SharedCookies() == 0 {
		return 0
	}
	n := 0
	for _, t := range r.targets {
		if t.cookies.Active() == 0 {
			n++
		}
	}
	return n
}

// applyCookieChanges updates the pools of upstreams that gained or lost a cookie for new flows, and reports
// shared cookies.
func (r *Router) applyCookieChanges() {
	reactivated, resolved := r.cookies.TakeChanges()
	for _, h := range reactivated {
		if t := h.Value; r.targets[t.Incarnation] == t {
			r.updatePool(t)
		}
	}
	if r.settings.CookieShared == nil {
		return
	}
	for _, c := range resolved {
		x := SharedCookie{Cookie: c, Claims: r.cookies.Claims().Of(c)}
		if h := r.cookies.Lookup(c); h != nil {
			x.Holder = &h.Value.Target
		}
		for _, h := range r.cookies.Candidates(c) {
			x.Candidates = append(x.Candidates, h.Value.Target)
		}
		r.settings.CookieShared(x)
	}
}

// finishedFlow is a flow that its caller has finished, whose last packets may still arrive.
type finishedFlow struct {
	target *target
	at     time.Time
}

// finishedTTL is how long finished flows are stored.
const finishedTTL = 5 * time.Second

// upstreamOf returns the upstream of a packet that opens no flow, nil with the reason if there is none.
func (r *Router) upstreamOf(now time.Time, p Packet) (*target, Reason) {
	h := r.cookies.Lookup(p.Cookie)
	if h != nil && h.Unambiguous(now) && !h.Value.forgotten {
		return h.Value, Known
	}
	// Another upstream may have flows with the cookie: the stored flow tells whose it is.
	if f := r.flows[p.Flow()]; f != nil && (f.cookie == p.Cookie || f.target.cookies.Has(p.Cookie)) {
		return f.target.known()
	}
	if f, ok := r.finished[p.Flow()]; ok && f.target.cookies.Has(p.Cookie) {
		return f.target.known()
	}
	switch {
	case h == nil && r.cookies.Shared(p.Cookie):
		return nil, AmbiguousCookie
	case h == nil:
		return nil, UnknownCookie
	case !h.Established(now) && len(r.flows) < maxFlows:
		return nil, NewUpstream
	}
	return h.Value.known()
}

// known returns the upstream, or nil with the reason if it has been forgotten.
func (t *target) known() (*target, Reason) {
	if t.forgotten {
		return nil, UnknownCookie
	}
	return t, Known
}

// noteFinished stores a flow that its caller has finished if the cookie alone does not tell its upstream.
func (r *Router) noteFinished(now time.Time, k Flow, t *target) {
	if !t.cookies.Unambiguous(now) && len(r.finished) < maxFlows {
		r.finished[k] = finishedFlow{t, now}
	}
}

// expireFinished removes finished flows after finishedTTL.
func (r *Router) expireFinished(now time.Time) {
	for k, f := range r.finished {
		if now.Sub(f.at) > finishedTTL {
			delete(r.finished, k)
		}
	}
}
