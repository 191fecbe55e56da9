package allocation

import (
	"slices"
	"time"

	"wasabideal/internal/cookie/claims"
)

const (
	// Choices is the number of cookies of an upstream.
	Choices = 3
	// SettlingPerLevel is the time per level of the tree of balancers within which all balancers in
	// contact with the voters have heard of an upstream and of the claims on its cookies: a voter sends
	// changes every 100 ms, each further level every 250 ms, and claims take as long.
	SettlingPerLevel = 800 * time.Millisecond
	// MaxSettling is that time in the deepest trees, of three levels.
	MaxSettling = 3 * SettlingPerLevel
	// retention is how long a cookie is kept for an upstream that has ended or is no longer known: longer
	// than any flow may stay open.
	retention = 90 * time.Second
)

// Hash returns one of the cookies of an instance of an upstream; choice is less than Choices. It must not
// return 0, which stands for no cookie.
type Hash func(incarnation, born uint64, choice int) uint32

// Instance identifies one run of an upstream.
type Instance struct{ Incarnation, Born uint64 }

// Holder is an instance of an upstream with its cookies. The fields that are read for each packet come first.
type Holder[T any] struct {
	// Value is what the caller stores for the instance.
	Value T
	// establishedAt is when the upstream becomes established at this balancer.
	establishedAt time.Time
	// active is the cookie for new flows, 0 if there is none, and used reports whether a flow of this
	// balancer had it.
	active uint32
	used   bool
	// unambiguous caches the result of Unambiguous once that is true.
	unambiguous bool
	// contested reports whether one of the cookies is shared or claimed.
	contested bool
	cookies   [Choices]uint32
	// usedCookies are the cookies that flows of this balancer had.
	usedCookies [Choices]bool
	instance    Instance
	// retiredAt is when the upstream ended or was forgotten, zero while it is known.
	retiredAt time.Time
}

// Active returns the cookie for new flows, 0 if all cookies stand for other upstreams or for none.
func (h *Holder[T]) Active() uint32 { return h.active }

// Unambiguous reports whether any packet with a cookie of the upstream belongs to it.
func (h *Holder[T]) Unambiguous(now time.Time) bool {
	if !h.unambiguous {
		h.unambiguous = !h.contested && h.Established(now)
	}
	return h.unambiguous
}

// Established reports whether all balancers in contact with the voters know the upstream.
func (h *Holder[T]) Established(now time.Time) bool { return !now.Before(h.establishedAt) }

// Has reports whether the upstream has the cookie.
func (h *Holder[T]) Has(cookie uint32) bool { return slices.Contains(h.cookies[:], cookie) }

// Use records that a flow has the cookie.
func (h *Holder[T]) Use(cookie uint32) {
	if h.used && cookie == h.active {
		return
	}
	for i, c := range h.cookies {
		h.usedCookies[i] = h.usedCookies[i] || c == cookie
	}
	h.used = h.uses(h.active)
}

// uses reports whether a flow of this balancer had the cookie.
func (h *Holder[T]) uses(cookie uint32) bool {
	for i, c := range h.cookies {
		if c == cookie && h.usedCookies[i] {
			return true
		}
	}
	return false
}

// sharing holds the upstreams known here that have one cookie.
type sharing[T any] struct {
	candidates []*Holder[T]
	// established is the candidate that this balancer had known for so long that no other balancer gave the
	// cookie to one of the others, nil if there is none.
	established *Holder[T]
}

// Allocation holds the cookies of all upstreams that one balancer knows. It is not safe for concurrent use.
type Allocation[T any] struct {
	hash Hash
	// holders holds, by cookie, the upstream that the cookie stands for.
	holders map[uint32]*Holder[T]
	// shared holds the cookies with several candidates or with claims.
	shared map[uint32]*sharing[T]
	// retired holds the upstreams that are no longer known, and retirements the order in which they were
	// forgotten.
	retired     map[Instance]*Holder[T]
	retirements []retirement[T]
	claims      claims.Set
	// reactivated and resolved are the results of the next call of TakeChanges.
	reactivated []*Holder[T]
	resolved    []uint32
}

// retirement records when an upstream was forgotten.
type retirement[T any] struct {
	holder *Holder[T]
	at     time.Time
}

// New returns an empty allocation.
func New[T any](hash Hash) *Allocation[T] {
	return &Allocation[T]{
		hash: hash, holders: map[uint32]*Holder[T]{}, shared: map[uint32]*sharing[T]{}, retired: map[Instance]*Holder[T]{},
	}
}

// Restore returns the entry of an instance that was retired and is known again, for instance after a cut, nil
// if there is none.
func (a *Allocation[T]) Restore(i Instance) *Holder[T] {
	h := a.retired[i]
	if h != nil {
		h.retiredAt = time.Time{}
		delete(a.retired, i)
	}
	return h
}

// Add adds an instance of an upstream, which becomes established at the given time, as the entry h.
func (a *Allocation[T]) Add(now time.Time, h *Holder[T], i Instance, value T, establishedAt time.Time) {
	*h = Holder[T]{Value: value, instance: i, establishedAt: establishedAt}
	for choice := range h.cookies {
		c := a.hash(i.Incarnation, i.Born, choice)
		if !slices.Contains(h.cookies[:choice], c) {
			h.cookies[choice] = c
			a.join(now, c, h)
		}
	}
	a.activate(h)
}

// join adds an upstream to the candidates for a cookie.
func (a *Allocation[T]) join(now time.Time, cookie uint32, h *Holder[T]) {
	s, first := a.shared[cookie], a.holders[cookie]
	if s == nil && first == nil && !a.claims.Shared(cookie) {
		a.holders[cookie] = h
		return
	}
	if s == nil {
		s = a.share(cookie)
		if first != nil && first.Established(now.Add(-MaxSettling)) {
			s.established = first
		}
	}
	s.candidates = append(s.candidates, h)
	a.resolve(cookie)
}

// share makes a cookie shared.
func (a *Allocation[T]) share(cookie uint32) *sharing[T] {
	s := &sharing[T]{}
	if h := a.holders[cookie]; h != nil {
		s.candidates = append(s.candidates, h)
	}
	a.shared[cookie] = s
	return s
}

// resolve claims a shared cookie for the candidates that may have flows with it, and determines which
// candidate the cookie stands for.
func (a *Allocation[T]) resolve(cookie uint32) {
	s := a.shared[cookie]
	if len(s.candidates) > 1 {
		// A balancer that starts may hear of one of the upstreams first, and must not use the cookie for it.
		a.claims = a.claims.With(claims.Claim{Cookie: cookie})
	}
	for _, h := range s.candidates {
		h.contested, h.unambiguous = true, false
		if h == s.established || h.uses(cookie) {
			a.claims = a.claims.With(claims.Claim{Cookie: cookie, Incarnation: h.instance.Incarnation, Born: h.instance.Born})
		}
	}
	var holder *Holder[T]
	if all := a.claims.Of(cookie); len(all) == 1 {
		for _, h := range s.candidates {
			if h.instance == (Instance{all[0].Incarnation, all[0].Born}) {
				holder = h
			}
		}
	}
	if holder == nil {
		delete(a.holders, cookie)
	} else {
		a.holders[cookie] = holder
	}
	a.resolved = append(a.resolved, cookie)
	for _, h := range s.candidates {
		a.activate(h)
	}
}

// activate determines the cookie for new flows of an upstream.
func (a *Allocation[T]) activate(h *Holder[T]) {
	before := h.active
	h.active = 0
	for _, c := range h.cookies {
		if c != 0 && a.holders[c] == h {
			h.active = c
			break
		}
	}
	if h.active != before {
		h.used = h.uses(h.active)
		a.reactivated = append(a.reactivated, h)
	}
}

// Retire records that an upstream has ended or is no longer known. Its cookies are kept for it as long as
// its flows may be open.
func (a *Allocation[T]) Retire(now time.Time, h *Holder[T]) {
	h.retiredAt = now
	a.retired[h.instance] = h
	a.retirements = append(a.retirements, retirement[T]{h, now})
}

// Expire gives up the cookies of upstreams whose flows have all ended.
func (a *Allocation[T]) Expire(now time.Time) {
	for len(a.retirements) > 0 && now.Sub(a.retirements[0].at) > retention {
		x := a.retirements[0]
		a.retirements = a.retirements[1:]
		if h := x.holder; h.retiredAt.Equal(x.at) {
			delete(a.retired, h.instance)
			for _, c := range h.cookies {
				a.leave(c, h)
			}
		}
	}
}

// leave removes an upstream from the candidates for a cookie.
func (a *Allocation[T]) leave(cookie uint32, h *Holder[T]) {
	s := a.shared[cookie]
	if s == nil {
		if a.holders[cookie] == h {
			delete(a.holders, cookie)
		}
		return
	}
	s.candidates = slices.DeleteFunc(s.candidates, func(x *Holder[T]) bool { return x == h })
	if s.established == h {
		s.established = nil
	}
	if a.holders[cookie] == h {
		delete(a.holders, cookie)
	}
	if len(s.candidates) == 0 {
		delete(a.shared, cookie)
	}
}

// Merge adds the claims of other processes.
func (a *Allocation[T]) Merge(other claims.Set) {
	before := a.claims
	a.claims = before.With(other.All()...)
	for _, c := range other.All() {
		if before.Includes(claims.Set{}.With(c)) {
			continue
		}
		if a.shared[c.Cookie] == nil {
			if a.holders[c.Cookie] == nil {
				continue
			}
			a.share(c.Cookie)
		}
		a.resolve(c.Cookie)
	}
}

// Claims returns the claims of this balancer and those merged.
func (a *Allocation[T]) Claims() claims.Set { return a.claims }

// Lookup returns the upstream that a cookie stands for, nil if there is none.
func (a *Allocation[T]) Lookup(cookie uint32) *Holder[T] { return a.holders[cookie] }

// Shared reports whether several upstreams have a cookie, or whether it is claimed.
func (a *Allocation[T]) Shared(cookie uint32) bool { return a.shared[cookie] != nil }

// Candidates returns the upstreams known here that have a shared cookie.
func (a *Allocation[T]) Candidates(cookie uint32) []*Holder[T] {
	if s := a.shared[cookie]; s != nil {
		return s.candidates
	}
	return nil
}

// SharedCookies returns the number of cookies with several candidates or with claims.
func (a *Allocation[T]) SharedCookies() int { return len(a.shared) }

// TakeChanges returns the upstreams whose cookie for new flows has changed, and the shared cookies that have
// been resolved, since the last call.
func (a *Allocation[T]) TakeChanges() (reactivated []*Holder[T], resolved []uint32) {
	reactivated, resolved = a.reactivated, a.resolved
	a.reactivated, a.resolved = nil, nil
	return reactivated, resolved
}
