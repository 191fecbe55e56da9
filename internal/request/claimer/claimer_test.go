package claimer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/model/roster"
	"wasabideal/internal/request/claimer"
	"wasabideal/internal/request/keys"
)

const (
	window  = 10 * time.Minute
	service = "orders"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// group simulates balancers that store keys and a network with partitions.
type group struct {
	now     time.Time
	random  *rand.Rand
	nodes   []*node
	roster  roster.Roster
	manager *rostermanager.Manager
	// side is the side of the partition that a node is on, by the node's name.
	side map[string]int
	loss float64
	// sent counts the requests that were sent to an upstream, by key.
	sent map[string]int
}

type node struct {
	member      roster.Member
	keys        *keys.Store
	view        roster.View
	copiedEpoch uint64
	running     bool
	leaving     bool
}

func newGroup(seed uint64) *group {
	g := &group{
		now: startTime, random: rand.New(rand.NewPCG(seed, 1)), side: map[string]int{}, sent: map[string]int{},
		manager: rostermanager.New(rostermanager.Settings{ChangeInterval: time.Second, Silent: 5 * time.Second, KeyRetention: window}, startTime),
	}
	for i := range 5 {
		g.nodes = append(g.nodes, &node{member: roster.Member{
			Name: fmt.Sprintf("b%d", i), Zone: fmt.Sprintf("z%d", i%3),
			Rpc: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 1),
		}})
		g.start(g.nodes[i])
	}
	g.run(3 * time.Second)
	return g
}

// start starts or restarts a node with an empty key store.
func (g *group) start(n *node) {
	n.member.Start++
	n.keys = keys.New(window, 1000)
	n.view, n.copiedEpoch, n.running, n.leaving = roster.NewView(roster.Roster{}), 0, true, false
}

// run advances the time in steps of a second. In each step, balancers report to the voters, the
// voters may change the roster, and some balancers receive it. The voters are on side 0 of a
// partition.
func (g *group) run(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(time.Second) {
		for _, n := range g.nodes {
			if n.running && g.side[n.member.Name] == 0 {
				g.manager.Record(g.now, rostermanager.Report{Member: n.member, Leaving: n.leaving, Moved: n.copiedEpoch})
			}
		}
		if c := g.manager.Decide(g.now, g.roster); c != nil {
			g.apply(*c)
		}
		for _, n := range g.nodes {
			// The roster reaches the balancers at different times.
			if n.running && g.side[n.member.Name] == 0 && g.random.Float64() < 0.7 {
				g.updateRoster(n)
			}
			n.keys.Expire(g.now)
		}
	}
}

func (g *group) apply(c ledger.RosterChange) {
	if c.Settle {
		g.roster = g.roster.WithSettled()
		return
	}
	g.roster = g.roster.WithMembers(c.Members)
}

// updateRoster gives a node the newest roster. The node then copies its records to the members
// that must store them; if one is unreachable, the next call starts again.
func (g *group) updateRoster(n *node) {
	if g.roster.Version > n.view.Roster.Version {
		n.view = roster.NewView(g.roster)
		n.keys.SetEpoch(g.roster.Epoch)
	}
	if n.copiedEpoch >= n.view.Roster.Epoch {
		return
	}
	for m, records := range n.keys.Transfers(n.view, n.member) {
		to := g.find(m)
		if to == nil || !g.connected(n, to) {
			return
		}
		to.keys.Merge(records)
	}
	n.copiedEpoch = n.view.Roster.Epoch
}

// find returns the running node of a member, or nil if the node has stopped or restarted.
func (g *group) find(m roster.Member) *node {
	i := slices.IndexFunc(g.nodes, func(n *node) bool { return n.member.Name == m.Name })
	if i < 0 || g.nodes[i].member.Start != m.Start || !g.nodes[i].running {
		return nil
	}
	return g.nodes[i]
}

func (g *group) connected(a, b *node) bool { return g.side[a.member.Name] == g.side[b.member.Name] }

// LostError reports a call without a response.
type LostError struct{}

func (LostError) Error() string { return "lost" }

// remoteStores calls other nodes on behalf of one node. It drops some requests and responses.
type remoteStores struct {
	g    *group
	from *node
}

func (m remoteStores) lost() bool { return m.g.random.Float64() < m.g.loss }

func (m remoteStores) Claim(_ context.Context, x roster.Member, e uint64, r keys.Record) (keys.Record, error) {
	to := m.g.find(x)
	if to == nil || !m.g.connected(m.from, to) || m.lost() {
		return keys.Record{}, LostError{}
	}
	record, err := to.keys.Claim(m.g.now, e, r)
	if m.lost() {
		return keys.Record{}, LostError{}
	}
	return record, err
}

func (m remoteStores) Release(_ context.Context, x roster.Member, r keys.Record) {
	if to := m.g.find(x); to != nil && m.g.connected(m.from, to) && !m.lost() {
		to.keys.Release(r.Service, r.Key, r.Attempt)
	}
}

func (m remoteStores) Finish(_ context.Context, x roster.Member, r keys.Record) {
	if to := m.g.find(x); to != nil && m.g.connected(m.from, to) && !m.lost() {
		to.keys.Finish(m.g.now, r)
	}
}

// attempt claims a key at a node. If the claim is granted, the node sends the request if send is
// set, and releases the key otherwise. The number distinguishes the attempts of a node.
func (g *group) attempt(n *node, key string, number int, send bool) claimer.Outcome {
	c := claimer.New(serial{remoteStores{g, n}}, time.Second, func() roster.View { return n.view })
	r := keys.Record{Service: service, Key: key, Attempt: fmt.Sprintf("%s/%d/%d", n.member.Name, n.member.Start, number)}
	result := c.Claim(context.Background(), r)
	if result.Outcome != claimer.Granted {
		return result.Outcome
	}
	if !send {
		c.Release(context.Background(), r)
		return result.Outcome
	}
	g.sent[key]++
	c.Finish(context.Background(), r)
	return result.Outcome
}

// serial admits one call at a time. A claim calls the replicas concurrently, but the simulated group
// is not safe for concurrent use.
type serial struct{ remoteStores }

// lock is full while a call runs.
var lock = make(chan struct{}, 1)

func (s serial) Claim(ctx context.Context, x roster.Member, e uint64, r keys.Record) (keys.Record, error) {
	lock <- struct{}{}
	defer func() { <-lock }()
	return s.remoteStores.Claim(ctx, x, e, r)
}

func (s serial) Release(ctx context.Context, x roster.Member, r keys.Record) {
	lock <- struct{}{}
	defer func() { <-lock }()
	s.remoteStores.Release(ctx, x, r)
}

func (s serial) Finish(ctx context.Context, x roster.Member, r keys.Record) {
	lock <- struct{}{}
	defer func() { <-lock }()
	s.remoteStores.Finish(ctx, x, r)
}

// TestRequestsRunAtMostOnce simulates restarts, planned stops, partitions, message loss
// and roster changes while callers send the same keys through all balancers.
func TestRequestsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(rapid.Uint64().Draw(t, "seed"))
		for i := range rapid.IntRange(10, 120).Draw(t, "steps") {
			n := rapid.SampledFrom(g.nodes).Draw(t, "node")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				n.running = false
			case 1:
				if !n.running {
					g.start(n)
				}
			case 2:
				n.leaving = !n.leaving
			case 3:
				g.side[n.member.Name] = 1 - g.side[n.member.Name]
			case 4:
				g.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
			case 5:
				g.run(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			default:
				key := fmt.Sprintf("key-%d", rapid.IntRange(0, 3).Draw(t, "key"))
				if n.running {
					g.attempt(n, key, i, rapid.IntRange(0, 3).Draw(t, "send") > 0)
				}
			}
			for key, count := range g.sent {
				require.LessOrEqual(t, count, 1, "%s was sent more than once", key)
			}
		}
	})
}

// A group splits 2 to 3, and a caller sends the same key to both sides. If a majority of the
// reachable members sufficed instead of a majority of the roster, both sides would run the
// request.
func TestBothSidesOfAPartitionNeverRunOneRequest(t *testing.T) {
	g := newGroup(1)
	g.side["b0"], g.side["b1"] = 1, 1
	for i := range 40 {
		key := fmt.Sprint("key-", i)
		g.attempt(g.nodes[0], key, 1, true)
		g.attempt(g.nodes[3], key, 2, true)
		require.LessOrEqual(t, g.sent[key], 1)
	}
	require.NotEmpty(t, g.sent, "the side with a majority continues to serve")
}

// Each balancer in turn leaves and returns without keys. If its keys are not copied before the
// next balancer leaves, a repeated request runs again.
func TestRollingRestartLosesNoKey(t *testing.T) {
	g := newGroup(2)
	for i := range 20 {
		require.Equal(t, claimer.Granted, g.attempt(g.nodes[0], fmt.Sprint("key-", i), 1, true))
	}
	for _, n := range g.nodes {
		n.leaving = true
		g.run(10 * time.Second)
		require.False(t, g.roster.Contains(n.member), "the roster removes %s", n.member.Name)
		require.True(t, g.roster.Settled())
		g.start(n)
		g.run(10 * time.Second)
	}
	for i := range 20 {
		require.Equal(t, claimer.Taken, g.attempt(g.nodes[1], fmt.Sprint("key-", i), 2, true))
	}
}

// Two of the three balancers that store a key crash together, restart empty and rejoin the
// roster as a majority without the key's record. A repeated request would run again, so claims
// are rejected until the window has passed.
func TestLostMajorityRejectsClaimsDuringTheWindow(t *testing.T) {
	g := newGroup(3)
	key := "precious"
	require.Equal(t, claimer.Granted, g.attempt(g.nodes[0], key, 1, true))
	set := g.nodes[0].view.Current(roster.Slot(service, key))
	for _, m := range set[:2] {
		g.start(g.find(m))
	}
	g.run(time.Minute)
	for i, n := range g.nodes {
		require.NotEqual(t, claimer.Granted, g.attempt(n, key, 10+i, true))
	}
	g.run(window + time.Minute)
	require.True(t, g.roster.Settled(), "the roster is settled after the window")
	require.Equal(t, claimer.Granted, g.attempt(g.nodes[0], "new", 20, true))
}

// A flood of keys fills the store. Evicting a key inside the window would let its request run
// twice, so the store rejects new keys.
func TestFullStoreRejectsNewKeys(t *testing.T) {
	k := keys.New(window, 2)
	for _, key := range []string{"a", "b"} {
		_, err := k.Claim(startTime, 0, keys.Record{Key: key, Attempt: key})
		require.NoError(t, err)
	}
	_, err := k.Claim(startTime, 0, keys.Record{Key: "c", Attempt: "c"})
	var full *keys.FullError
	require.ErrorAs(t, err, &full)
	r, err := k.Claim(startTime, 0, keys.Record{Key: "a", Attempt: "other"})
	require.NoError(t, err)
	require.Equal(t, "a", r.Attempt)
}
