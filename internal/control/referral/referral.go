package referral

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/upstream"
)

// halveEvery is how often the counts of referred upstreams are halved: balancers that
// restarted have none of those that were referred to them before.
const halveEvery = 30 * time.Second

// eachMost bounds the upstreams that one voter refers to one balancer in that time, three
// times what a fleet of 3,000 upstreams and 300 balancers has in the mean. Voters that have
// just started know few balancers: one of them was referred 190 upstreams.
const eachMost = 30

// Referral counts the upstreams that were referred to each balancer.
type Referral struct {
	shape    tree.Shape
	referred map[string]int
	halved   time.Time
}

// New returns a referral for zones whose balancers form trees of a shape.
func New(s tree.Shape) *Referral { return &Referral{shape: s, referred: map[string]int{}} }

// Choose returns the address for announcements of a balancer of the upstream's zone, and
// none where few balancers are there: voters bear their upstreams themselves. Of two that
// the announcement's number picks it is the one with fewer upstreams, so that one that
// comes back, since its balancer did not answer, is referred to another. Balancers at the
// top of the tree pass on what the others tell and are left out.
func (r *Referral) Choose(now time.Time, u upstream.Upstream, zone []member.Member) string {
	able := r.able(zone)
	if len(able) == 0 {
		return ""
	}
	r.halve(now)
	h := xxhash.Sum64String(strconv.FormatUint(u.Incarnation, 16) + " " + strconv.FormatUint(u.Sequence, 16))
	first, second := able[h%uint64(len(able))], able[(h>>32)%uint64(len(able))]
	if r.referred[second] < r.referred[first] {
		first = second
	}
	if r.referred[first] >= eachMost {
		return ""
	}
	r.referred[first]++
	return first
}

// able returns the balancers that may take announcements.
func (r *Referral) able(zone []member.Member) []string {
	addresses := make([]string, len(zone))
	for i, m := range zone {
		addresses[i] = m.Address
	}
	roots := r.shape.Top(addresses)
	var out []string
	for _, m := range zone {
		if m.Announcements != "" && !roots[m.Address] {
			out = append(out, m.Announcements)
		}
	}
	return out
}

func (r *Referral) halve(now time.Time) {
	if now.Sub(r.halved) < halveEvery {
		return
	}
	r.halved = now
	for a, n := range r.referred {
		if r.referred[a] = n / 2; n < 2 {
			delete(r.referred, a)
		}
	}
}
