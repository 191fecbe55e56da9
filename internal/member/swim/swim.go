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

// Kind is the first byte of every gossip datagram.
const Kind = 2

// Piggyback exchanges payloads of another package that are piggybacked on probes.
type Piggyback interface {
	// Payload returns a payload of at most budget bytes.
	Payload(now time.Time, budget int) []byte
	// HandlePayload processes a payload sent by from; it ignores invalid payloads.
	HandlePayload(now time.Time, from Member, payload []byte)
}

// Settings configures a Swim. The durations must differ by at least one tick.
type Settings struct {
	Self  Member
	Seeds []netip.AddrPort
	Token string
	// Group separates groups that share a token.
	Group string
	Seed  uint64
	// IndirectAfter is the time without an ack after which indirect probes are sent.
	IndirectAfter time.Duration
	// SuspectAfter is the time without an ack after which a member is suspected.
	SuspectAfter time.Duration
	// DeadAfter is the time in which a suspected member may refute before it is declared dead.
	DeadAfter time.Duration
	// ForgetAfter is the time after which a dead member is removed and no longer probed.
	ForgetAfter time.Duration
	// BytesPerSecond is the byte budget of probes and piggybacked payloads.
	BytesPerSecond int
}

// Counters holds the totals since the start. Refused counts rejected datagrams.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes, Refused, Suspicions, Deaths, Refutations uint64
}

const (
	indirectProbers   = 2
	updatesPerMessage = 6
	// datagramLimit keeps gossip below the usual MTU, to avoid fragmentation.
	datagramLimit = 1200
	// overhead is the size of the IPv4 and UDP headers.
	overhead = 28
	// joinEvery is the number of ticks between join messages to unknown seeds.
	joinEvery = 2
	// probeEvery is the number of ticks between probes.
	probeEvery = 2
	// pushFanout is the number of members that receive a push.
	pushFanout = 3
	// reviveEvery is the interval, in probes, between the probes of dead members.
	reviveEvery = 4
)

type peer struct {
	Member
	// since is the time of the last update about the member.
	since time.Time
	// transmissions is how often that update was sent.
	transmissions int
	// respondsDirectly is unset from an unanswered direct probe until the next ack.
	respondsDirectly bool
}

type probe struct {
	target   string
	sent     time.Time
	indirect bool
}

// Swim is the protocol instance of one balancer. It is not safe for concurrent use.
type Swim struct {
	settings Settings
	signer   seal.Signer
	self     Member
	peers    map[string]*peer
	// order is the probe order of this round, and next is the index of the next member to probe.
	order []string
	// updates are the updates that may still be sent.
	updates        []*peer
	urgentChange   bool
	digestSum      uint64
	next           int
	ticks          uint64
	sequence       uint32
	probes         map[uint32]probe
	indirectProbes map[uint32]indirectProbe
	random         *rand.Rand
	piggybacks     []Piggyback
	// budget is the number of bytes that may be sent now; it may be negative.
	budget   float64
	lastTick time.Time
	version  uint64
	// rotation is the index of the last member that nextMembers returned.
	rotation int
	Counters Counters
}

// indirectProbe is a probe that another member requested.
type indirectProbe struct {
	requester netip.AddrPort
	sequence  uint32
	sent      time.Time
}

// New returns a Swim whose only member is this balancer.
func New(s Settings, piggybacks ...Piggyback) *Swim {
	return &Swim{
		settings: s, signer: seal.New(s.Token, s.Group), self: s.Self,
		peers: map[string]*peer{}, probes: map[uint32]probe{}, indirectProbes: map[uint32]indirectProbe{},
		random: rand.New(rand.NewPCG(s.Seed, s.Self.Start)), piggybacks: piggybacks,
	}
}

// Version changes whenever Members, Unreachable or Isolated may have changed.
func (s *Swim) Version() uint64 { return s.version }

// Self returns the member that this balancer announces for itself.
func (s *Swim) Self() Member { return s.self }

// Members returns this balancer and all alive or suspected members, sorted by name.
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

// All returns all known members, including dead ones, sorted by name.
func (s *Swim) All() []Member {
	ms := []Member{s.self}
	for _, p := range s.peers {
		ms = append(ms, p.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// Unreachable returns the addresses of the members that do not respond to this balancer's direct
// probes or are suspected. Packets are routed around these members before they are declared dead.
func (s *Swim) Unreachable() map[netip.AddrPort]bool {
	u := map[netip.AddrPort]bool{}
	for _, p := range s.peers {
		if p.State == Suspect || p.State == Alive && !p.respondsDirectly {
			u[p.Address] = true
		}
	}
	return u
}

// Isolated reports whether at least as many balancers are unreachable as reachable. Dead members
// and seeds not yet known as members count as unreachable; this balancer counts as reachable. A
// partition is then more likely than the failure of all unreachable balancers.
func (s *Swim) Isolated() bool {
	unreachable, reachable := len(s.unknownSeeds()), 1
	for _, p := range s.peers {
		switch p.State {
		case Dead:
			unreachable++
		case Alive, Suspect:
			reachable++
		case Left:
		}
	}
	return unreachable >= reachable
}

// unknownSeeds returns the seeds that are not yet known as members.
func (s *Swim) unknownSeeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(s.settings.Seeds), s.isKnown)
}

// SetPassive announces whether this balancer is passive, that is, owns no flows.
func (s *Swim) SetPassive(passive bool) {
	s.self.Passive = passive
	s.self.Incarnation++
	s.version++
}

// Leave announces to a few members that this balancer has left.
func (s *Swim) Leave(now time.Time, out *effect.List) {
	s.self.State = Left
	s.self.Incarnation++
	for _, m := range s.randomPeers(indirectProbers+1, "") {
		s.send(now, m.Address, message{Kind: kindAck}, out)
	}
}

// TakeUrgent reports whether a member joined, left, failed, was suspected, refuted or changed
// Passive since the last call, and clears this state. Such a change is urgent: until all balancers
// know of it, some forward packets to a member that is gone, and these packets are lost.
func (s *Swim) TakeUrgent() bool {
	u := s.urgentChange
	s.urgentChange = false
	return u
}

// MayPush reports whether the byte budget allows a push. Updates of upstreams are also sent in
// pushes: when many upstreams join at once, a push for each would use ten times the budget of
// control traffic.
func (s *Swim) MayPush() bool { return s.budget > 0 }

// Push sends updates to a few members, as sync messages, without waiting for the next probes.
func (s *Swim) Push(now time.Time, out *effect.List) {
	for _, m := range s.randomPeers(pushFanout, "") {
		s.send(now, m.Address, message{Kind: kindSync}, out)
	}
}

// Tick expires probes and suspicions, contacts unknown seeds and, at every probeEvery-th call,
// probes the next member. It must be called at a fixed interval.
func (s *Swim) Tick(now time.Time, out *effect.List) {
	if !s.lastTick.IsZero() {
		s.budget += now.Sub(s.lastTick).Seconds() * float64(s.settings.BytesPerSecond)
	}
	s.budget = min(s.budget, float64(s.settings.BytesPerSecond))
	s.lastTick = now
	s.ticks++
	s.expireProbes(now, out)
	s.expireMembers(now)
	s.join(now, out)
	if s.ticks%probeEvery != 0 {
		return
	}
	if t, ok := s.nextTarget(); ok {
		s.probe(now, t, out)
	}
}

// join sends a join message to an unknown seed.
//
// Unknown seeds are contacted even if other members are known. Otherwise two balancers that
// start together and find only each other would remain a separate group, and both
// groups would have owners for the same flows.
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

func (s *Swim) isKnown(a netip.AddrPort) bool {
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

func (s *Swim) expireMembers(now time.Time) {
	for _, p := range s.sortedPeers(func(p *peer) bool { return p.State != Alive }) {
		age := now.Sub(p.since)
		switch {
		case p.State == Suspect && age > s.settings.DeadAfter:
			s.Counters.Deaths++
			s.store(now, p.WithState(Dead))
		case p.State >= Dead && age > s.settings.ForgetAfter:
			s.digestSum -= p.digest()
			delete(s.peers, p.Name)
			s.version++
		}
	}
}

// store stores a member that is new or supersedes its known state.
func (s *Swim) store(now time.Time, m Member) {
	old := s.peers[m.Name]
	p := &peer{Member: m, since: now, respondsDirectly: true}
	if old != nil && old.Start == m.Start {
		p.respondsDirectly = old.respondsDirectly
	}
	if old != nil {
		s.digestSum -= old.digest()
	}
	s.urgentChange = s.urgentChange || m.State != Alive || old == nil || old.State != Alive || old.Passive != m.Passive
	s.digestSum += p.digest()
	s.peers[m.Name] = p
	s.updates = append(s.updates, p)
	s.version++
}

// merge merges an update about a member, and refutes a wrong update about this balancer.
func (s *Swim) merge(now time.Time, m Member) {
	if m.Name == s.self.Name {
		s.refute(m)
		return
	}
	old := s.peers[m.Name]
	if old == nil && m.State >= Dead {
		return
	}
	if old == nil || m.supersedes(old.Member) {
		s.store(now, m)
	}
}

func (s *Swim) refute(m Member) {
	if m.Start != s.self.Start || m.Incarnation < s.self.Incarnation || m.State == Alive && m.Incarnation == s.self.Incarnation {
		return
	}
	s.self.Incarnation = m.Incarnation + 1
	s.Counters.Refutations++
}

// retransmitLimit is the number of transmissions after which an update has reached all
// members with high probability.
func (s *Swim) retransmitLimit() int { return 3 * bits.Len(uint(len(s.peers)+1)) }

// pendingUpdates returns the updates to send next, the least transmitted first.
func (s *Swim) pendingUpdates() []Member {
	limit := s.retransmitLimit()
	s.updates = slices.DeleteFunc(s.updates, func(p *peer) bool { return p.transmissions >= limit || s.peers[p.Name] != p })
	slices.SortStableFunc(s.updates, func(a, b *peer) int { return cmp.Compare(a.transmissions, b.transmissions) })
	ms := make([]Member, 0, updatesPerMessage)
	for _, p := range s.updates[:min(updatesPerMessage, len(s.updates))] {
		p.transmissions++
		ms = append(ms, p.Member)
	}
	return ms
}

// nextMembers returns the next n known members in turn. They are sent to a member that joins or
// whose digest differs.
func (s *Swim) nextMembers(n int) []Member {
	ps := s.sortedPeers(func(*peer) bool { return true })
	ms := make([]Member, 0, n)
	for range min(n, len(ps)) {
		s.rotation = (s.rotation + 1) % len(ps)
		ms = append(ms, ps[s.rotation].Member)
	}
	return ms
}

// digest returns the incrementally updated sum of the digests of all members.
func (s *Swim) digest() uint64 { return s.digestSum + s.self.digest() }
