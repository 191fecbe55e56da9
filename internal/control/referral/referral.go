package referral

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/upstream"
)

// decayInterval is how often the counts of referred upstreams are halved: a balancer that
// restarted no longer has the upstreams that were referred to it before.
const decayInterval = 30 * time.Second

// maxPerBalancer is the count of referred upstreams at which a voter refers no more upstreams to
// a balancer, until decay halves the count. The limit is three times the mean number of upstreams
// per balancer in a fleet of 3,000 upstreams and 300 balancers. Voters
// that have just started know few balancers; without the limit, a single balancer received
// 190 upstreams.
const maxPerBalancer = 30

// Referral chooses balancers by the number of upstreams referred to each.
type Referral struct {
	shape     tree.Shape
	referred  map[string]int
	lastDecay time.Time
}

// New returns a Referral for zones whose balancers form trees of the given shape.
func New(s tree.Shape) *Referral { return &Referral{shape: s, referred: map[string]int{}} }

// Choose returns the announcement address of a balancer in the upstream's zone, or "" if the
// upstream stays with the voter, as in zones with few balancers. A hash of incarnation and sequence
// number selects two candidates, and Choose returns the candidate with fewer referred upstreams. The
// sequence number makes another balancer likely if the first balancer did not respond and the upstream
// announces itself to a voter again. Root balancers are excluded: they forward the others' reports.
func (r *Referral) Choose(now time.Time, u upstream.Upstream, zone []member.Member) string {
	candidates := r.candidates(zone)
	if len(candidates) == 0 {
		return ""
	}
	r.decay(now)
	h := xxhash.Sum64String(strconv.FormatUint(u.Incarnation, 16) + " " + strconv.FormatUint(u.Sequence, 16))
	first, second := candidates[h%uint64(len(candidates))], candidates[(h>>32)%uint64(len(candidates))]
	if r.referred[second] < r.referred[first] {
		first = second
	}
	if r.referred[first] >= maxPerBalancer {
		return ""
	}
	r.referred[first]++
	return first
}

// candidates returns the announcement addresses of the balancers that may be chosen.
func (r *Referral) candidates(zone []member.Member) []string {
	addresses := make([]string, len(zone))
	for i, m := range zone {
		addresses[i] = m.Address
	}
	roots := r.shape.RootsOf(addresses)
	var out []string
	for _, m := range zone {
		if m.Announcements != "" && !roots[m.Address] {
			out = append(out, m.Announcements)
		}
	}
	return out
}

// decay halves the counts once per decayInterval.
func (r *Referral) decay(now time.Time) {
	if now.Sub(r.lastDecay) < decayInterval {
		return
	}
	r.lastDecay = now
	for a, n := range r.referred {
		if r.referred[a] = n / 2; n < 2 {
			delete(r.referred, a)
		}
	}
}
