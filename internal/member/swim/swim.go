package swim

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"wasabideal/internal/core/effect"
	"wasabideal/internal/member/seal"
)

// Kind is the first byte of every gossip datagram on the peer port.
const Kind = 2

// Rider is news of another package that travels on probes.
type Rider interface {
	// Load returns news of at most budget bytes.
	Load(now time.Time, budget int) []byte
	// Unload takes the news that from sent; it ignores what it cannot read.
	Unload(now time.Time, from Member, news []byte)
}

// Settings bound the probing; all times must be at least a tick apart.
type Settings struct {
	Self  Member
	Seeds []netip.AddrPort
	Token string
	// Group keeps groups that share the token apart.
	Group string
	Seed  uint64
	// IndirectAfter is the silence after which others are asked to probe.
	IndirectAfter time.Duration
	// SuspectAfter is the silence after which a probed member is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspect may refute.
	DeadAfter time.Duration
	// ForgetAfter is how long a dead member is looked for.
	ForgetAfter time.Duration
	// BytesPerSecond bounds what probes and their riders send.
	BytesPerSecond int
}

// Counters are running totals of the probing.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes, Refused, Suspicions, Deaths, Refutations uint64
}

const (
	indirectProbers = 2
	newsPerMessage  = 6
	// datagramLimit keeps gossip within one packet of an ordinary network.
	datagramLimit = 1200
	// overhead is what IPv4 and UDP headers add to each datagram.
	overhead = 28
	// joinEvery is the number of ticks between questions to unknown seeds.
	joinEvery = 2
	// probeEvery is the number of ticks between probes.
	probeEvery = 2
	// pushFanout is the number of members that urgent news goes to.
	pushFanout = 3
	// reviveEvery is the number of probes between probes of a dead member.
	reviveEvery = 4
)

type peer struct {
	Member
	since  time.Time
	told   int
	direct bool
}

type probe struct {
	target   string
	sent     time.Time
	indirect bool
}

// Swim is the membership of one balancer; one goroutine owns it.
type Swim struct {
	settings Settings
	seal     seal.Seal
	self     Member
	peers    map[string]*peer
	order    []string
	fresh    []*peer
	urgent   bool
	sum      uint64
	next     int
	ticks    uint64
	number   uint32
	probes   map[uint32]probe
	relayed  map[uint32]relayedProbe
	random   *rand.Rand
	riders   []Rider
	budget   float64
	lastTick time.Time
	version  uint64
	rotation int
	Counters Counters
}

type relayedProbe struct {
	origin netip.AddrPort
	number uint32
	sent   time.Time
}

// New returns a membership that knows itself only.
func New(s Settings, riders ...Rider) *Swim {
	return &Swim{
		settings: s, seal: seal.New(s.Token, s.Group), self: s.Self,
		peers: map[string]*peer{}, probes: map[uint32]probe{}, relayed: map[uint32]relayedProbe{},
		random: rand.New(rand.NewPCG(s.Seed, s.Self.Start)), riders: riders,
	}
}

// Version changes whenever Members, Reachable or Isolated may have.
func (s *Swim) Version() uint64 { return s.version }

// Self returns this balancer as it tells others of itself.
func (s *Swim) Self() Member { return s.self }

// Members returns this balancer and all that are not dead or gone, by name.
func (s *Swim) Members() []Member {
	ms := []Member{s.self}
	for _, p := range s.peers {
		if p.State <= Suspect {
			ms = append(ms, p.Member)
		}
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// All returns every member known, the dead included, by name.
func (s *Swim) All() []Member {
	ms := []Member{s.self}
	for _, p := range s.peers {
		ms = append(ms, p.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// Unreachable returns the members that do not answer this balancer, and those
// that others suspect: packets go around them before they count as dead.
func (s *Swim) Unreachable() map[netip.AddrPort]bool {
	u := map[netip.AddrPort]bool{}
	for _, p := range s.peers {
		if p.State == Suspect || p.State == Alive && !p.direct {
			u[p.Address] = true
		}
	}
	return u
}

// Isolated says that no more of the group is in sight, this balancer included,
// than is lost or was never heard though it is a seed: it is then likelier that
// this balancer is cut off than that all of them died.
func (s *Swim) Isolated() bool {
	lost, inSight := len(s.unknownSeeds()), 1
	for _, p := range s.peers {
		switch p.State {
		case Dead:
			lost++
		case Alive, Suspect:
			inSight++
		case Left:
		}
	}
	return lost >= inSight
}

func (s *Swim) unknownSeeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(s.settings.Seeds), s.knows)
}

// SetPassive tells the group whether this balancer owns flows.
func (s *Swim) SetPassive(passive bool) {
	s.self.Passive = passive
	s.self.Incarnation++
	s.version++
}

// Goodbye tells a few members that this balancer is gone now.
func (s *Swim) Goodbye(now time.Time, out *effect.List) {
	s.self.State = Left
	s.self.Incarnation++
	for _, m := range s.pick(indirectProbers+1, "") {
		s.send(now, m.Address, message{Kind: kindAck}, out)
	}
}

// TakeUrgent says, once, whether a member came, went, is suspected or refuted:
// until all have heard, some send packets to where they are lost.
func (s *Swim) TakeUrgent() bool {
	u := s.urgent
	s.urgent = false
	return u
}

// MayPush says whether the byte budget has room: when many upstreams come at
// once, a push for each would send ten times what control may use.
func (s *Swim) MayPush() bool { return s.budget > 0 }

// Push tells a few members at once what would else wait for the next probes.
func (s *Swim) Push(now time.Time, out *effect.List) {
	for _, m := range s.pick(pushFanout, "") {
		s.send(now, m.Address, message{Kind: kindSync}, out)
	}
}

// Tick probes the next member and ages suspicions; call it at a steady pace.
func (s *Swim) Tick(now time.Time, out *effect.List) {
	if !s.lastTick.IsZero() {
		s.budget += now.Sub(s.lastTick).Seconds() * float64(s.settings.BytesPerSecond)
	}
	s.budget = min(s.budget, float64(s.settings.BytesPerSecond))
	s.lastTick = now
	s.ticks++
	s.ageProbes(now, out)
	s.ageMembers(now)
	s.join(now, out)
	if s.ticks%probeEvery != 0 {
		return
	}
	if t, ok := s.nextTarget(); ok {
		s.probe(now, t, out)
	}
}

// join asks a seed that is not known for the group.
//
// Asking only while alone is not enough: two balancers that start together and
// meet each other first would stay an island, and both islands would take
// themselves for the first rank of the same flows.
func (s *Swim) join(now time.Time, out *effect.List) {
	if s.ticks%joinEvery != 0 {
		return
	}
	unknown := s.unknownSeeds()
	if len(unknown) == 0 {
		return
	}
	s.send(now, unknown[s.random.IntN(len(unknown))], message{Kind: kindJoin}, out)
}

func (s *Swim) knows(a netip.AddrPort) bool {
	if a == s.self.Address {
		return true
	}
	for _, p := range s.peers {
		if p.Address == a {
			return true
		}
	}
	return false
}

func (s *Swim) ageMembers(now time.Time) {
	for _, p := range s.sorted(func(p *peer) bool { return p.State != Alive }) {
		age := now.Sub(p.since)
		switch {
		case p.State == Suspect && age > s.settings.DeadAfter:
			s.Counters.Deaths++
			s.set(now, p.WithState(Dead))
		case p.State >= Dead && age > s.settings.ForgetAfter:
			s.sum -= p.digest()
			delete(s.peers, p.Name)
			s.version++
		}
	}
}

// set takes news that is newer than what is known.
func (s *Swim) set(now time.Time, m Member) {
	old := s.peers[m.Name]
	p := &peer{Member: m, since: now, direct: true}
	if old != nil && old.Start == m.Start {
		p.direct = old.direct
	}
	if old != nil {
		s.sum -= old.digest()
	}
	s.urgent = s.urgent || m.State != Alive || old == nil || old.State != Alive || old.Passive != m.Passive
	s.sum += p.digest()
	s.peers[m.Name] = p
	s.fresh = append(s.fresh, p)
	s.version++
}

// hear merges news about any member, and refutes wrong news about oneself.
func (s *Swim) hear(now time.Time, m Member) {
	if m.Name == s.self.Name {
		s.refute(m)
		return
	}
	old := s.peers[m.Name]
	if old == nil && m.State >= Dead {
		return
	}
	if old == nil || m.newer(old.Member) {
		s.set(now, m)
	}
}

func (s *Swim) refute(m Member) {
	if m.Start != s.self.Start || m.Incarnation < s.self.Incarnation || m.State == Alive && m.Incarnation == s.self.Incarnation {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.Counters.Refutations++
}

// retellLimit is how often news is told on, enough to reach all with high probability.
func (s *Swim) retellLimit() int { return 3 * bits.Len(uint(len(s.peers)+1)) }

// news picks what to tell next: the least told first.
func (s *Swim) news() []Member {
	limit := s.retellLimit()
	s.fresh = slices.DeleteFunc(s.fresh, func(p *peer) bool { return p.told >= limit || s.peers[p.Name] != p })
	slices.SortStableFunc(s.fresh, func(a, b *peer) int { return cmp.Compare(a.told, b.told) })
	ms := make([]Member, 0, newsPerMessage)
	for _, p := range s.fresh[:min(newsPerMessage, len(s.fresh))] {
		p.told++
		ms = append(ms, p.Member)
	}
	return ms
}

// rotate picks known members in turn for one whose list differs from ours.
func (s *Swim) rotate(n int) []Member {
	ps := s.sorted(func(*peer) bool { return true })
	ms := make([]Member, 0, n)
	for range min(n, len(ps)) {
		s.rotation = (s.rotation + 1) % len(ps)
		ms = append(ms, ps[s.rotation].Member)
	}
	return ms
}

// digest sums all news known here, kept up to date as news comes.
func (s *Swim) digest() uint64 { return s.sum + s.self.digest() }
