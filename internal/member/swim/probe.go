package swim

import (
	"maps"
	"slices"
	"time"

	"wasabideal/internal/core/effect"
)

// nextTarget walks all members in a random order renewed at each round, so
// that each is probed within two rounds at the latest.
func (s *Swim) nextTarget() (Member, bool) {
	if s.ticks%(probeEvery*reviveEvery) == 0 {
		if dead := s.sorted(func(p *peer) bool { return p.State == Dead }); len(dead) > 0 {
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

func (s *Swim) sorted(keep func(*peer) bool) []*peer {
	var ps []*peer
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		if p := s.peers[name]; keep(p) {
			ps = append(ps, p)
		}
	}
	return ps
}

// pick returns up to n live members other than the named one, at random.
func (s *Swim) pick(n int, except string) []Member {
	ps := s.sorted(func(p *peer) bool { return p.State == Alive && p.Name != except })
	s.random.Shuffle(len(ps), func(i, j int) { ps[i], ps[j] = ps[j], ps[i] })
	ms := make([]Member, 0, n)
	for _, p := range ps[:min(n, len(ps))] {
		ms = append(ms, p.Member)
	}
	return ms
}

func (s *Swim) probe(now time.Time, m Member, out *effect.List) {
	s.number++
	s.probes[s.number] = probe{target: m.Name, sent: now}
	s.send(now, m.Address, message{Kind: kindPing, Number: s.number}, out)
}

func (s *Swim) ageProbes(now time.Time, out *effect.List) {
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
			s.setDirect(t, false)
			for _, m := range s.pick(indirectProbers, p.target) {
				s.send(now, m.Address, message{Kind: kindPingFor, Number: n, Target: t.Address}, out)
			}
		}
	}
	maps.DeleteFunc(s.relayed, func(_ uint32, p relayedProbe) bool {
		return now.Sub(p.sent) > s.settings.SuspectAfter
	})
}

func (s *Swim) setDirect(p *peer, direct bool) {
	if p.direct != direct {
		p.direct = direct
		s.version++
	}
}

func (s *Swim) suspect(now time.Time, p *peer) {
	if p.State != Alive {
		return
	}
	s.Counters.Suspicions++
	s.set(now, p.WithState(Suspect))
}
