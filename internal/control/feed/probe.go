package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/probe"
)

// referenceCount is the number of recently announced upstreams that are probed along with a suspect.
const referenceCount = 2

// Prober checks whether the host of an upstream is reachable.
type Prober interface {
	Check(ctx context.Context, suspect netip.AddrPort, references []netip.AddrPort) probe.Outcome
}

// SetProber sets the prober for upstreams that leave packets unanswered. Without a prober, no upstream
// is reported as unresponsive.
func (f *Feed) SetProber(p Prober) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prober = p
}

// suspicions returns the suspicions that follow from the evidence of balancers.
func (f *Feed) suspicions(now time.Time) []confirmation.Candidate {
	return lo.Map(f.detector.Suspicions(now), func(s evidence.Suspicion, _ int) confirmation.Candidate {
		return confirmation.Candidate{Suspicion: s, Upstreams: f.detector.Implicated(s.Subject)}
	})
}

// confirmedSuspicions returns the suspicions to report to balancers.
func (f *Feed) confirmedSuspicions(now time.Time) []evidence.Suspicion {
	return f.confirmation.Confirm(now, f.suspicions(now))
}

// suspicionsVersion returns a number that rises whenever the suspicions may have changed.
func (f *Feed) suspicionsVersion() uint64 { return f.detector.Version() + f.confirmation.Version() }

// startProbes starts the probes that are due.
func (f *Feed) startProbes(now time.Time) {
	if f.prober == nil {
		return
	}
	due := f.confirmation.NextProbes(now, f.suspicions(now))
	if len(due) == 0 {
		return
	}
	references := f.directory.RecentAddresses(referenceCount, func(incarnation uint64) bool {
		return f.detector.IsSuspected(evidence.Event{Incarnation: incarnation})
	})
	for _, u := range due {
		address, known := f.address(now, u)
		if !known {
			f.confirmation.RecordOutcome(now, now, u, probe.Inconclusive)
			continue
		}
		go f.runProbe(now, u, address, references)
	}
}

func (f *Feed) runProbe(start time.Time, u evidence.Subject, address netip.AddrPort, references []netip.AddrPort) {
	o := f.prober.Check(context.Background(), address, references)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	before := f.suspicionsVersion()
	f.confirmation.RecordOutcome(now, start, u, o)
	if f.suspicionsVersion() != before {
		f.wakeForSuspicions(now)
	}
}

// address returns the address of an upstream, from this voter's directory or another voter's.
func (f *Feed) address(now time.Time, u evidence.Subject) (netip.AddrPort, bool) {
	if a, known := f.directory.Address(u.Incarnation, u.Born); known {
		return a, true
	}
	if f.remoteUpstreams.source == nil {
		return netip.AddrPort{}, false
	}
	return f.remoteUpstreams.source.Address(now, u.Incarnation, u.Born)
}
