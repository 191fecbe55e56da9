package reducer_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/flow/choice"
	"wasabideal/internal/flow/key"
	"wasabideal/internal/model/upstream"
)

var portugal = flag.Bool("portugal", false, "compare at the size of Northern Portugal")

var spill = flag.Int("spill", 5, "SpillPercent of the comparison")

var experimentFlows = flag.Int("experiment", 0, "flows of the comparison with baselines; 0 skips it")

// baseline selects an upstream for a packet from the state of one balancer. It returns an index
// into pool, or -1 if pool is empty.
type baseline func(f *fleet, n *node, c *caller, flags tcpFlags, pool []upstream.Upstream) int

func (f *fleet) routeBaseline(n *node, c *caller, flags tcpFlags, data []byte) {
	pool := n.reducer.Serving(f.now, c.name)
	if i := f.baseline(f, n, c, flags, pool); i >= 0 {
		f.perform(n, effect.Effect{Kind: effect.ToUpstream, To: pool[i].Address, Data: data})
	}
}

func hashOf(a netip.AddrPort) uint64 {
	b := a.Addr().As4()
	return uint64(b[0])<<40 | uint64(b[1])<<32 | uint64(b[2])<<24 | uint64(b[3])<<16 | uint64(a.Port())
}

// policy returns the index of the candidate for a flow's hash, or -1 without candidates.
type policy func(hash uint64, pool []choice.Candidate) int

func byPolicy(p policy) baseline {
	return func(_ *fleet, _ *node, c *caller, _ tcpFlags, pool []upstream.Upstream) int {
		candidates := make([]choice.Candidate, len(pool))
		for i, u := range pool {
			candidates[i] = choice.Candidate{Seed: mix(hashOf(u.Address)), Share: 1}
		}
		return p(mix(hashOf(c.source)), candidates)
	}
}

func mix(x uint64) uint64 {
	x = (x ^ x>>31) * 0x7fb5d329728ea185
	x = (x ^ x>>27) * 0x81dadef4bc2dd44d
	return x ^ x>>33
}

// rendezvous selects the highest-ranked candidate regardless of its load.
func rendezvous(hash uint64, pool []choice.Candidate) int {
	best, score := -1, uint64(0)
	for i := range pool {
		if s := key.Mix(hash ^ pool[i].Seed); best < 0 || s > score {
			best, score = i, s
		}
	}
	return best
}

// modulo selects the candidate at index hash mod len(pool).
func modulo(hash uint64, pool []choice.Candidate) int {
	if len(pool) == 0 {
		return -1
	}
	return int(hash % uint64(len(pool)))
}

// randomWithTable selects at random and stores the choice in a flow table that balancers
// do not share.
func randomWithTable(f *fleet, n *node, c *caller, flags tcpFlags, pool []upstream.Upstream) int {
	if len(pool) == 0 {
		return -1
	}
	if a, ok := n.flowTable[c.source]; ok && !flags.SYN {
		for i, u := range pool {
			if u.Address == a {
				return i
			}
		}
	}
	i := f.random.IntN(len(pool))
	n.flowTable[c.source] = pool[i].Address
	return i
}

var strategies = []struct {
	name     string
	baseline baseline
}{
	{"wasabideal", nil},
	{"modulo", byPolicy(modulo)},
	{"rendezvous", byPolicy(rendezvous)},
	{"random", randomWithTable},
}

var scenarios = []struct {
	name  string
	apply func(f *fleet)
}{
	{"nothing", func(*fleet) {}},
	{"one death", func(f *fleet) { f.nodes["b004"].alive = false }},
	{"double death 1 s apart", func(f *fleet) { f.doubleFailure(time.Second) }},
	{"double death 5 s apart", func(f *fleet) { f.doubleFailure(5 * time.Second) }},
	{"double death 20 s apart", func(f *fleet) { f.doubleFailure(20 * time.Second) }},
	{"join", func(f *fleet) { f.addNode(20, f.site.zones[1]) }},
	{"planned stop", func(f *fleet) { f.leave(f.nodes["b004"]) }},
	{"drain", func(f *fleet) { f.drain(f.firstReadyUpstream()) }},
	{"preset switch", func(f *fleet) { f.usePreset("peak") }},
	{"partition 10 s", func(f *fleet) { f.partition(f.site.zones[2], 10*time.Second) }},
}

// doubleFailure stops a balancer, and another one after an interval.
func (f *fleet) doubleFailure(interval time.Duration) {
	f.nodes["b004"].alive = false
	f.after(interval, func() { f.nodes["b005"].alive = false })
}

// TestComparison prints the broken flows of each strategy for each change; run it with
// go test ./internal/balancer/reducer -run Comparison -experiment 30000 -v.
func TestComparison(t *testing.T) {
	if *experimentFlows == 0 {
		t.Skip("pass -experiment 30000")
	}
	size := suezSite
	if *portugal {
		size = portugalSite
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCENARIO\tSTRATEGY\tFLOWS\tBROKEN\tSHARE\tMISDELIVERED\tIMBALANCE\tCONTROL B/S")
	for _, sc := range scenarios {
		for _, st := range strategies {
			f := newSite(size, 1, 4**experimentFlows)
			f.baseline = st.baseline
			f.setSpill(*spill)
			f.openFlows(*experimentFlows, "orders", 10*time.Second, 8*time.Second)
			before := f.imbalance("orders")
			bytes, from := f.peerBytes, f.now
			sc.apply(f)
			f.run(30 * time.Second)
			rate := float64(f.peerBytes-bytes) / f.now.Sub(from).Seconds() / float64(size.balancers)
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.4f\t%d\t%.3f\t%.0f\n", sc.name, st.name, f.established, f.broken,
				float64(f.broken)/float64(max(f.established, 1)), f.misdelivered, before, rate)
			_ = w.Flush()
			if st.baseline == nil {
				require.Zero(t, f.misdelivered)
			}
		}
	}
}
