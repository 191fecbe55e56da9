package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/probe"
	"wasabideal/internal/silence/word"
)

// references is how many upstreams that announced themselves lately are probed beside a suspect.
const references = 2

// Prober finds out whether the host of an upstream is there.
type Prober interface {
	Check(ctx context.Context, suspect netip.AddrPort, references []netip.AddrPort) probe.Outcome
}

// SetProber sets who probes upstreams that leave packets unanswered. Without one none counts as
// unresponsive.
func (f *Feed) SetProber(p Prober) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prober = p
}

// suspicions are the doubts that the evidence of balancers raises.
func (f *Feed) suspicions(now time.Time) []confirmation.Suspicion {
	return lo.Map(f.silence.Doubts(now), func(d word.Doubt, _ int) confirmation.Suspicion {
		return confirmation.Suspicion{Doubt: d, Upstreams: f.silence.Implicated(d.Subject)}
	})
}

// confirmed are the doubts that balancers are told of.
func (f *Feed) confirmed(now time.Time) []word.Doubt {
	return f.confirmation.Confirm(now, f.suspicions(now))
}

// doubtsVersion rises whenever those may have changed.
func (f *Feed) doubtsVersion() uint64 { return f.silence.Version() + f.confirmation.Version() }

// probe starts the probes that are due.
func (f *Feed) probe(now time.Time) {
	if f.prober == nil {
		return
	}
	due := f.confirmation.Due(now, f.suspicions(now))
	if len(due) == 0 {
		return
	}
	beside := f.directory.Heard(references, func(incarnation uint64) bool {
		return f.silence.Questioned(word.Event{Incarnation: incarnation})
	})
	for _, u := range due {
		address, known := f.address(now, u)
		if !known {
			f.confirmation.Probed(now, now, u, probe.Inconclusive)
			continue
		}
		go f.check(now, u, address, beside)
	}
}

func (f *Feed) check(begun time.Time, u word.Subject, address netip.AddrPort, beside []netip.AddrPort) {
	o := f.prober.Check(context.Background(), address, beside)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	before := f.doubtsVersion()
	f.confirmation.Probed(now, begun, u, o)
	if f.doubtsVersion() != before {
		f.tellDoubts(now)
	}
}

// address returns where an upstream is, as heard here or by another voter.
func (f *Feed) address(now time.Time, u word.Subject) (netip.AddrPort, bool) {
	if a, known := f.directory.Address(u.Incarnation, u.Born); known {
		return a, true
	}
	if f.elsewhere.source == nil {
		return netip.AddrPort{}, false
	}
	return f.elsewhere.source.Address(now, u.Incarnation, u.Born)
}
