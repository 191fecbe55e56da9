package reducer

import (
	"net/netip"
	"time"

	"wasabideal/internal/configuration/follower"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/busy"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/registry"
	"wasabideal/internal/wire/gue"
	"wasabideal/internal/wire/relay"
)

// Settings configure a reducer and the parts it is made of.
type Settings struct {
	Router   router.Settings
	Swim     swim.Settings
	Registry registry.Settings
	// Group is the balancers that share flows; services of others are not served.
	Group string
	// Source is where peers may fetch this balancer's configuration.
	Source netip.AddrPort
	// BusyKeep is how long a peer's news that it makes copies counts.
	BusyKeep time.Duration
	// FetchEvery bounds how often a newer configuration is asked for.
	FetchEvery time.Duration
}

// Reducer is the state of one balancer; one goroutine owns it.
type Reducer struct {
	settings        Settings
	router          *router.Router
	swim            *swim.Swim
	registry        *registry.Registry
	busy            *busy.Tracker
	follower        *follower.Follower
	peers           map[netip.AddrPort]bool
	swimVersion     uint64
	registryVersion uint64
	lastFetch       time.Time
	leavingSince    time.Time
	drained         bool
	urgent          bool
	ranked          bool
	rankedAt        time.Time
	begun           time.Time
	joining         bool
	refused         uint64
}

// New returns a reducer at the given time.
func New(s Settings, now time.Time) *Reducer {
	r := &Reducer{settings: s, peers: map[netip.AddrPort]bool{}, begun: now}
	r.joining = len(s.Swim.Seeds) > 0
	s.Swim.Self.Passive = r.joining
	r.router = router.New(s.Router, now)
	r.registry = registry.New(s.Registry)
	r.busy = busy.New(func() bool { return !r.router.Repaired() }, s.BusyKeep)
	r.follower = follower.New(s.Source)
	r.swim = swim.New(s.Swim, r.follower, r.busy, r.registry)
	if r.joining {
		r.router.SetJoining(router.Newborn)
	}
	r.router.SetIsolated(r.swim.Isolated())
	return r
}

// Status is what a balancer says of itself to operators.
type Status struct {
	Name        string
	Zone        string
	Revision    uint64
	InForce     string
	RevisionAge time.Duration
	Isolated    bool
	Leaving     bool
	Drained     bool
	Flows       int
	Openings    int
	Refused     uint64
	Members     []swim.Member
	Upstreams   []upstream.Upstream
	// Evacuated are the availability zones that take no new flows.
	Evacuated     []string
	Router        router.Counters
	Swim          swim.Counters
	Configuration configuration.Configuration `json:"-"`
}

// Status returns the state that operators see.
func (r *Reducer) Status(now time.Time) Status {
	c := r.follower.Current()
	return Status{
		Name: r.settings.Router.Self, Zone: r.settings.Router.Zone,
		Revision: c.Revision, InForce: c.InForce, RevisionAge: r.follower.Age(now),
		Isolated: r.swim.Isolated(), Leaving: !r.leavingSince.IsZero(), Drained: r.drained,
		Flows: r.router.Flows(), Openings: r.router.Openings(), Refused: r.refused,
		Members: r.swim.All(), Upstreams: r.registry.All(), Evacuated: r.registry.Evacuations().Names(),
		Router: r.router.Counters, Swim: r.swim.Counters, Configuration: c,
	}
}

// BadInput returns the datagrams that were malformed, unsealed or from strangers.
func (r *Reducer) BadInput() uint64 {
	return r.refused + r.router.Counters.Malformed + r.swim.Counters.Refused
}

// Serving returns the upstreams that take new work of a service.
func (r *Reducer) Serving(now time.Time, service string) []upstream.Upstream {
	return r.registry.Serving(now, service)
}

// Share returns the part of a warm upstream's load that the address should get.
func (r *Reducer) Share(now time.Time, a netip.AddrPort) float64 { return r.registry.Share(now, a) }

// Evacuations returns the orders for availability zones in force here.
func (r *Reducer) Evacuations() evacuation.Evacuations { return r.registry.Evacuations() }

// Configuration returns the configuration in force here.
func (r *Reducer) Configuration() configuration.Configuration { return r.follower.Current() }

// Members returns the members that are not dead or gone.
func (r *Reducer) Members() []swim.Member { return r.swim.Members() }

// Reduce applies one event and appends what must be done; the error answers
// an announcement that was refused.
func (r *Reducer) Reduce(now time.Time, e event.Event, out *effect.List) error {
	var err error
	switch e.Kind {
	case event.FabricDatagram:
		r.fabric(now, e.Data, out)
	case event.PeerDatagram:
		r.peer(now, e, out)
	case event.Ticked:
		r.tick(now, out)
	case event.Announced:
		err = r.registry.Announce(now, *e.Upstream, e.TokenSha256)
	case event.Offered:
		r.offer(now, *e.Configuration)
	case event.Evacuated:
		r.registry.SetEvacuations(*e.Evacuations)
	case event.StopPlanned:
		r.leave(now)
	case event.Stopped:
		r.swim.Leave(now, out)
	}
	// Both are asked: each forgets that it was urgent.
	members, upstreams := r.swim.TakeUrgent(), r.registry.TakeUrgent()
	r.urgent = r.urgent || members || upstreams
	if r.urgent && r.swim.MayPush() {
		r.urgent = false
		r.swim.Push(now, out)
	}
	r.spread(now)
	return err
}

func (r *Reducer) fabric(now time.Time, datagram []byte, out *effect.List) {
	packet, err := gue.Inner(datagram)
	if err != nil {
		r.refused++
		return
	}
	r.router.Packet(now, packet, out)
}

func (r *Reducer) peer(now time.Time, e event.Event, out *effect.List) {
	if len(e.Data) == 0 {
		r.refused++
		return
	}
	if e.Data[0] == swim.Kind {
		r.swim.Receive(now, e.From, e.Data, out)
		return
	}
	// Anything but sealed gossip is taken from members only: a stray sender
	// could otherwise plant flows.
	if !r.peers[e.From] {
		r.refused++
		return
	}
	switch e.Data[0] {
	case relay.Kind:
		r.router.Relayed(now, e.Data, out)
	case router.BatchKind:
		r.router.Batch(now, e.From, e.Data, out)
	case router.BatchAckKind:
		r.router.BatchAck(e.From, e.Data)
	default:
		r.refused++
	}
}

func (r *Reducer) tick(now time.Time, out *effect.List) {
	r.join(now)
	r.swim.Tick(now, out)
	r.rank(now)
	r.registry.Tick(now)
	r.router.Tick(now, out)
	if from, behind := r.follower.Behind(); behind && now.Sub(r.lastFetch) >= r.settings.FetchEvery {
		r.lastFetch = now
		out.Add(effect.Effect{Kind: effect.Fetch, To: from})
	}
	r.checkDrained(now, out)
}

func (r *Reducer) offer(now time.Time, c configuration.Configuration) {
	if !r.follower.Offer(now, c) {
		return
	}
	// The follower keeps the whole, for those that follow this balancer.
	mine := c.ForGroup(r.settings.Group)
	r.router.SetConfiguration(mine)
	r.registry.SetConfiguration(mine)
}

func (r *Reducer) leave(now time.Time) {
	if r.leavingSince.IsZero() {
		r.leavingSince = now
		r.swim.SetPassive(true)
	}
}

const (
	// joinAfter is the time in which a balancer that begins hears of its group.
	// Until then it owns no flow: one that opened flows as if alone was never
	// asked for them, since the others ranked it nowhere.
	joinAfter = 1500 * time.Millisecond
	// matureAfter is when a balancer that still knows no other is alone indeed.
	matureAfter = 5 * time.Second
)

func (r *Reducer) join(now time.Time) {
	age := now.Sub(r.begun)
	switch {
	case !r.joining:
	case age >= matureAfter:
		r.joining = false
		r.router.SetJoining(router.Joined)
	case age >= joinAfter && r.swim.Self().Passive && r.leavingSince.IsZero():
		r.router.SetJoining(router.Young)
		r.swim.SetPassive(false)
	}
}

// leaveNotice is the time for the group to hear of a planned stop before
// the hand-over may count as complete.
const leaveNotice = 2 * time.Second

func (r *Reducer) checkDrained(now time.Time, out *effect.List) {
	if r.drained || r.leavingSince.IsZero() || now.Sub(r.leavingSince) < leaveNotice {
		return
	}
	if r.router.Repaired() && !r.busy.AnyRepairing(now) {
		r.drained = true
		out.Add(effect.Effect{Kind: effect.Drained})
	}
}

// spread hands what one part learned to the others.
func (r *Reducer) spread(now time.Time) {
	if v := r.swim.Version(); v != r.swimVersion {
		r.swimVersion = v
		r.admitPeers()
		r.ranked = false
	}
	if v := r.registry.Version(); v != r.registryVersion {
		r.registryVersion = v
		for _, s := range r.follower.Current().Services {
			r.router.SetPool(s.Name, r.registry.Pool(now, s.Name))
		}
		r.router.SetHolders(r.registry.Holders())
	}
}

// admitPeers takes datagrams from all that are members now.
func (r *Reducer) admitPeers() {
	ms := r.swim.Members()
	r.peers = make(map[netip.AddrPort]bool, len(ms))
	zones := map[string]bool{}
	for _, m := range ms {
		r.peers[m.Address] = m.Name != r.settings.Router.Self
		zones[m.Zone] = true
	}
	r.registry.SetReach(zones)
	r.router.SetIsolated(r.swim.Isolated())
	r.router.SetUnreachable(r.swim.Unreachable())
}

// rankPause is the least time between two rankings.
const rankPause = 500 * time.Millisecond

// rank ranks the members at once after a quiet time, and else after a pause:
// when many come together, each arrival would otherwise rank all slots anew.
func (r *Reducer) rank(now time.Time) {
	if r.ranked || now.Sub(r.rankedAt) < rankPause {
		return
	}
	r.ranked, r.rankedAt = true, now
	ms := r.swim.Members()
	list := make([]ownership.Member, 0, len(ms))
	for _, m := range ms {
		list = append(list, ownership.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Start: m.Start, Passive: m.Passive})
	}
	r.router.SetMembers(now, list)
}
