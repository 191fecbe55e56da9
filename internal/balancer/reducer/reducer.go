package reducer

import (
	"net/netip"
	"time"

	"wasabideal/internal/configuration/follower"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/repairstatus"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/registry"
	"wasabideal/internal/wire/gue"
	"wasabideal/internal/wire/relay"
)

// Settings configures a Reducer and its components.
type Settings struct {
	Router   router.Settings
	Swim     swim.Settings
	Registry registry.Settings
	// Group names the balancers that share flows. Services of other groups are not
	// served.
	Group string
	// Source is the address from which peers fetch this balancer's configuration.
	Source netip.AddrPort
	// BusyKeep is the time after which a peer's report of repairs expires.
	BusyKeep time.Duration
	// FetchEvery is the minimum interval between fetches of a newer configuration.
	FetchEvery time.Duration
}

// Reducer is the state machine of one balancer. It is not safe for concurrent use.
type Reducer struct {
	settings        Settings
	router          *router.Router
	swim            *swim.Swim
	registry        *registry.Registry
	repairs         *repairstatus.Tracker
	follower        *follower.Follower
	peers           map[netip.AddrPort]bool
	swimVersion     uint64
	registryVersion uint64
	lastFetch       time.Time
	leavingSince    time.Time
	drained         bool
	pushPending     bool
	// ranked is unset if the members have changed since lastRank.
	ranked    bool
	lastRank  time.Time
	startedAt time.Time
	joining   bool
	// rejected counts malformed datagrams and those from non-members.
	rejected uint64
}

// New returns a Reducer that starts at the given time.
func New(s Settings, now time.Time) *Reducer {
	r := &Reducer{settings: s, peers: map[netip.AddrPort]bool{}, startedAt: now}
	r.joining = len(s.Swim.Seeds) > 0
	s.Swim.Self.Passive = r.joining
	r.router = router.New(s.Router, now)
	r.registry = registry.New(s.Registry)
	r.repairs = repairstatus.New(func() bool { return !r.router.Repaired() }, s.BusyKeep)
	r.follower = follower.New(s.Source)
	r.swim = swim.New(s.Swim, r.follower, r.repairs, r.registry)
	if r.joining {
		r.router.SetJoinStage(router.Discovering)
	}
	r.router.SetIsolated(r.swim.Isolated())
	return r
}

// Status is the state of a balancer as reported to operators.
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
	// Openings is the number of flows that are not established yet.
	Openings int
	// Refused is the number of rejected datagrams.
	Refused   uint64
	Members   []swim.Member
	Upstreams []upstream.Upstream
	// Evacuated lists the availability zones that receive no new flows.
	Evacuated     []string
	Router        router.Counters
	Swim          swim.Counters
	Configuration configuration.Configuration `json:"-"`
}

// Status returns the current status.
func (r *Reducer) Status(now time.Time) Status {
	c := r.follower.Current()
	return Status{
		Name: r.settings.Router.Self, Zone: r.settings.Router.Zone,
		Revision: c.Revision, InForce: c.InForce, RevisionAge: r.follower.Age(now),
		Isolated: r.swim.Isolated(), Leaving: !r.leavingSince.IsZero(), Drained: r.drained,
		Flows: r.router.Flows(), Openings: r.router.Openings(), Refused: r.rejected,
		Members: r.swim.All(), Upstreams: r.registry.All(), Evacuated: r.registry.Evacuations().EvacuatedZones(),
		Router: r.router.Counters, Swim: r.swim.Counters, Configuration: c,
	}
}

// InvalidDatagrams returns the number of datagrams that were malformed, unsigned or from
// non-members.
func (r *Reducer) InvalidDatagrams() uint64 {
	return r.rejected + r.router.Counters.Malformed + r.swim.Counters.Refused
}

// Serving returns the upstreams that accept new flows and requests of a service.
func (r *Reducer) Serving(now time.Time, service string) []upstream.Upstream {
	return r.registry.Serving(now, service)
}

// Share returns the weight of the upstream at an address relative to a warm upstream: 1, or
// less during its slow start.
func (r *Reducer) Share(now time.Time, a netip.AddrPort) float64 { return r.registry.Share(now, a) }

// Evacuations returns the zone evacuations in force at this balancer.
func (r *Reducer) Evacuations() evacuation.Evacuations { return r.registry.Evacuations() }

// Configuration returns the configuration in force at this balancer.
func (r *Reducer) Configuration() configuration.Configuration { return r.follower.Current() }

// Members returns this balancer and all alive or suspected members.
func (r *Reducer) Members() []swim.Member { return r.swim.Members() }

// Reduce applies an event and appends its effects to out. The error reports a rejected
// announcement.
func (r *Reducer) Reduce(now time.Time, e event.Event, out *effect.List) error {
	var err error
	switch e.Kind {
	case event.FabricDatagram:
		r.reduceFabric(now, e.Data, out)
	case event.PeerDatagram:
		r.reducePeer(now, e, out)
	case event.Ticked:
		r.reduceTick(now, out)
	case event.UpstreamAnnounced:
		err = r.registry.Announce(now, *e.Upstream, e.TokenSha256)
	case event.ConfigurationReceived:
		r.reduceConfiguration(now, *e.Configuration)
	case event.EvacuationsReceived:
		r.registry.SetEvacuations(*e.Evacuations)
	case event.StopPlanned:
		r.startLeaving(now)
	case event.Stopped:
		r.swim.Leave(now, out)
	}
	// Both calls are needed, because each resets a flag.
	members, upstreams := r.swim.TakeUrgent(), r.registry.TakeUrgent()
	r.pushPending = r.pushPending || members || upstreams
	if r.pushPending && r.swim.MayPush() {
		r.pushPending = false
		r.swim.Push(now, out)
	}
	r.propagate(now)
	return err
}

func (r *Reducer) reduceFabric(now time.Time, datagram []byte, out *effect.List) {
	packet, err := gue.Inner(datagram)
	if err != nil {
		r.rejected++
		return
	}
	r.router.RoutePacket(now, packet, out)
}

func (r *Reducer) reducePeer(now time.Time, e event.Event, out *effect.List) {
	if len(e.Data) == 0 {
		r.rejected++
		return
	}
	if e.Data[0] == swim.Kind {
		r.swim.Receive(now, e.From, e.Data, out)
		return
	}
	// Unsigned datagrams are accepted from members only; any other sender could
	// otherwise inject flows.
	if !r.peers[e.From] {
		r.rejected++
		return
	}
	switch e.Data[0] {
	case relay.Kind:
		r.router.RouteRelayed(now, e.Data, out)
	case router.BatchKind:
		r.router.HandleBatch(now, e.From, e.Data, out)
	case router.BatchAckKind:
		r.router.HandleBatchAck(e.From, e.Data)
	default:
		r.rejected++
	}
}

func (r *Reducer) reduceTick(now time.Time, out *effect.List) {
	r.join(now)
	r.swim.Tick(now, out)
	r.updateRanking(now)
	r.registry.Tick(now)
	r.router.Tick(now, out)
	if from, behind := r.follower.NewestPeer(); behind && now.Sub(r.lastFetch) >= r.settings.FetchEvery {
		r.lastFetch = now
		out.Add(effect.Effect{Kind: effect.Fetch, To: from})
	}
	r.checkDrained(now, out)
}

func (r *Reducer) reduceConfiguration(now time.Time, c configuration.Configuration) {
	if !r.follower.Offer(now, c) {
		return
	}
	// The follower keeps the complete configuration for balancers that fetch it.
	served := c.ForGroup(r.settings.Group)
	r.router.SetConfiguration(served)
	r.registry.SetConfiguration(served)
}

func (r *Reducer) startLeaving(now time.Time) {
	if r.leavingSince.IsZero() {
		r.leavingSince = now
		r.swim.SetPassive(true) // owns no flows
	}
}

const (
	// joinAfter is the time in which a starting balancer discovers the other members. Until
	// then the balancer owns no flows: peers that do not list it as a member would never
	// query it for the flows that it stores.
	joinAfter = 1500 * time.Millisecond
	// aloneAfter is the time after which a starting balancer opens flows in all of its
	// slots. If it has discovered no peer by then, it is alone.
	aloneAfter = 5 * time.Second
)

func (r *Reducer) join(now time.Time) {
	age := now.Sub(r.startedAt)
	switch {
	case !r.joining:
	case age >= aloneAfter:
		r.joining = false
		r.router.SetJoinStage(router.Joined)
	case age >= joinAfter && r.swim.Self().Passive && r.leavingSince.IsZero():
		r.router.SetJoinStage(router.Provisional)
		r.swim.SetPassive(false)
	}
}

// minLeaveTime is the minimum duration of a planned stop, so that gossip about it reaches
// the other members.
const minLeaveTime = 2 * time.Second

func (r *Reducer) checkDrained(now time.Time, out *effect.List) {
	if r.drained || r.leavingSince.IsZero() || now.Sub(r.leavingSince) < minLeaveTime {
		return
	}
	if r.router.Repaired() && !r.repairs.AnyRepairing(now) {
		r.drained = true
		out.Add(effect.Effect{Kind: effect.Drained})
	}
}

// propagate passes changes of the members and the upstreams to the other components.
func (r *Reducer) propagate(now time.Time) {
	if v := r.swim.Version(); v != r.swimVersion {
		r.swimVersion = v
		r.updatePeers()
		r.ranked = false
	}
	if v := r.registry.Version(); v != r.registryVersion {
		r.registryVersion = v
		for _, s := range r.follower.Current().Services {
			r.router.SetPool(s.Name, r.registry.Pool(now, s.Name))
		}
		r.router.SetAddressServices(r.registry.ServicesByAddress())
	}
}

// updatePeers passes the current members' addresses, zones and reachability to the other
// components.
func (r *Reducer) updatePeers() {
	ms := r.swim.Members()
	r.peers = make(map[netip.AddrPort]bool, len(ms))
	zones := map[string]bool{}
	for _, m := range ms {
		r.peers[m.Address] = m.Name != r.settings.Router.Self
		zones[m.Zone] = true
	}
	r.registry.SetReachableZones(zones)
	r.router.SetIsolated(r.swim.Isolated())
	r.router.SetUnreachable(r.swim.Unreachable())
}

// minRankInterval is the minimum interval between two rankings.
const minRankInterval = 500 * time.Millisecond

// updateRanking passes changed members to the router, which ranks them for each slot. It does so at
// most once per minRankInterval: when many members join at once, each would otherwise cause a new
// ranking of all slots.
func (r *Reducer) updateRanking(now time.Time) {
	if r.ranked || now.Sub(r.lastRank) < minRankInterval {
		return
	}
	r.ranked, r.lastRank = true, now
	ms := r.swim.Members()
	list := make([]ownership.Member, 0, len(ms))
	for _, m := range ms {
		list = append(list, ownership.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Start: m.Start, Passive: m.Passive})
	}
	r.router.SetMembers(now, list)
}
