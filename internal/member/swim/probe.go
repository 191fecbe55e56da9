package swim

import (
	"maps"
	"slices"
	"time"

	"wasabideal/internal/core/effect"
)

// nextTarget returns the next member in a random order that is shuffled each round, so
// that every member is probed at least once within two rounds. Every reviveEvery-th call returns a
// random dead member, if there is one. The result is false if there is no member to probe.
func (s *Swim) nextTarget() (Member, bool) {
	if s.ticks%(probeEvery*reviveEvery) == 0 {
		if dead := s.sortedPeers(func(p *peer) bool { return p.State == Dead }); len(dead) > 0 {
			return dead[s.random.IntN(len(dead))].Member, true
		}
	}
	for range 2 {
		for s.next < len(s.order) {
			p := s.peers[s.order[s.next]]
			s.next++
			if p != nil && p.State <= Suspect {
				return p.Member, true
			}
		}
		s.order = slices.Sorted(maps.Keys(s.peers))
		s.random.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		s.next = 0
	}
	return Member{}, false
}

func (s *Swim) sortedPeers(match func(*peer) bool) []*peer {
	var ps []*peer
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; match(p) {
			ps = append(ps, p)
		}
	}
	return ps
}

// randomPeers returns up to n random live members other than the named one.
func (s *Swim) randomPeers(n int, except string) []Member {
	ps := s.sortedPeers(func(p *peer) bool { return p.State == Alive && p.Name != except })
	s.random.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	ms := make([]Member, 0, n)
	for _, p := range ps[:min(n, len(ps))] {
		ms = append(ms, p.Member)
	}
	return ms
}

func (s *Swim) probe(now time.Time, m Member, out *effect.List) {
	s.sequence++
	s.probes[s.sequence] = probe{target: m.Name, sent: now}
	s.send(now, m.Address, message{Kind: kindPing, Number: s.sequence}, out)
}

func (s *Swim) expireProbes(now time.Time, out *effect.List) {
	for _, n := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[n]
		t := s.peers[p.target]
		switch {
		case t == nil || t.State > Suspect && now.Sub(p.sent) > s.settings.SuspectAfter:
			delete(s.probes, n)
		case now.Sub(p.sent) > s.settings.SuspectAfter:
			delete(s.probes, n)
			s.suspect(now, t)
		case !p.indirect && t.State <= Suspect && now.Sub(p.sent) > s.settings.IndirectAfter:
			p.indirect = true
			s.probes[n] = p
			s.setRespondsDirectly(t, false)
			for _, m := range s.randomPeers(indirectProbers, p.target) {
				s.send(now, m.Address, message{Kind: kindPingRequest, Number: n, Target: t.Address}, out)
			}
		}
	}
	maps.DeleteFunc(s.indirectProbes, func(_ uint32, p indirectProbe) bool {
		return now.Sub(p.sent) > s.settings.SuspectAfter
	})
}

func (s *Swim) setRespondsDirectly(p *peer, direct bool) {
	if p.respondsDirectly != direct {
		p.respondsDirectly = direct
		s.version++
	}
}

func (s *Swim) suspect(now time.Time, p *peer) {
	if p.State != Alive {
		return
	}
	s.Counters.Suspicions++
	s.store(now, p.WithState(Suspect))
}
