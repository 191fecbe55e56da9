package confirmation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/probe"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return epoch.Add(time.Duration(milliseconds) * time.Millisecond) }

func upstreams(ids ...uint64) []evidence.Subject {
	var out []evidence.Subject
	for _, id := range ids {
		out = append(out, evidence.Subject{Incarnation: id})
	}
	return out
}

// unresponsive returns an unresponsive subject whose first unanswered packet was sent at -300 ms.
func unresponsive(now time.Time, s evidence.Subject, upstreams []evidence.Subject) []confirmation.Candidate {
	return []confirmation.Candidate{{
		Suspicion: evidence.Suspicion{Subject: s, Age: now.Sub(at(-300)), Unresponsive: true}, Upstreams: upstreams,
	}}
}

func TestUpstreamIsUnresponsiveOnlyIfItsHostIsDown(t *testing.T) {
	for o, want := range map[probe.Outcome]bool{
		probe.Inconclusive: false, probe.Accepted: false, probe.Refused: true, probe.Unanswered: true,
	} {
		c := confirmation.New()
		all := unresponsive(at(0), evidence.Subject{Incarnation: 1}, upstreams(1))
		require.False(t, c.Confirm(at(0), all)[0].Unresponsive, "not probed yet")
		require.Equal(t, upstreams(1), c.NextProbes(at(0), all))
		require.Empty(t, c.NextProbes(at(10), all), "a probe is running")
		before := c.Version()
		c.RecordOutcome(at(500), at(0), evidence.Subject{Incarnation: 1}, o)
		require.Equal(t, want, c.Version() > before)
		all = unresponsive(at(500), evidence.Subject{Incarnation: 1}, upstreams(1))
		require.Equal(t, want, c.Confirm(at(500), all)[0].Unresponsive, o.String())
	}
}

// A probe starts before the first unanswered packet is sent. Its outcome must not confirm the
// suspicion.
func TestProbeBeforeTheSuspicionIsIgnored(t *testing.T) {
	c := confirmation.New()
	all := unresponsive(at(0), evidence.Subject{Incarnation: 1}, upstreams(1))
	c.NextProbes(at(0), all)
	c.RecordOutcome(at(500), at(0), evidence.Subject{Incarnation: 1}, probe.Unanswered)
	all[0].Age = 300 * time.Millisecond
	require.False(t, c.Confirm(at(1000), all)[0].Unresponsive)
	require.Equal(t, upstreams(1), c.NextProbes(at(1000), all))
}

// A host recovers after a probe has found it down. The upstream must not stay unresponsive.
func TestRecoveredHostIsNoLongerUnresponsive(t *testing.T) {
	c := confirmation.New()
	all := unresponsive(at(0), evidence.Subject{Incarnation: 1}, upstreams(1))
	c.NextProbes(at(0), all)
	c.RecordOutcome(at(500), at(0), evidence.Subject{Incarnation: 1}, probe.Unanswered)
	all[0].Age = 2 * time.Second
	require.Empty(t, c.NextProbes(at(1400), all))
	require.Equal(t, upstreams(1), c.NextProbes(at(1600), all))
	require.True(t, c.Confirm(at(1600), all)[0].Unresponsive, "until the next probe ends")
	c.RecordOutcome(at(1601), at(1600), evidence.Subject{Incarnation: 1}, probe.Accepted)
	require.False(t, c.Confirm(at(1601), all)[0].Unresponsive)
}

func TestZoneIsUnresponsiveOnlyIfEnoughHostsAreDownAndNoneAccepts(t *testing.T) {
	zone := evidence.Subject{Zone: "a"}
	for name, c := range map[string]struct {
		outcomes []probe.Outcome
		want     bool
	}{
		"two down":              {[]probe.Outcome{probe.Unanswered, probe.Unanswered, probe.Inconclusive}, true},
		"one down":              {[]probe.Outcome{probe.Unanswered, probe.Inconclusive, probe.Inconclusive}, false},
		"two down, one accepts": {[]probe.Outcome{probe.Unanswered, probe.Refused, probe.Accepted}, false},
	} {
		x := confirmation.New()
		all := unresponsive(at(0), zone, upstreams(1, 2, 3))
		x.NextProbes(at(0), all)
		for i, o := range c.outcomes {
			x.RecordOutcome(at(500), at(0), evidence.Subject{Incarnation: uint64(i + 1)}, o)
		}
		all = unresponsive(at(500), zone, upstreams(1, 2, 3))
		require.Equal(t, c.want, x.Confirm(at(500), all)[0].Unresponsive, name)
	}
}

func TestProbesAreBounded(t *testing.T) {
	c := confirmation.New()
	var all []confirmation.Candidate
	for id := range uint64(500) {
		all = append(all, unresponsive(at(0), evidence.Subject{Incarnation: id}, upstreams(id))...)
	}
	require.Len(t, c.NextProbes(at(0), all), 64)
	require.Empty(t, c.NextProbes(at(100), all))
	for id := range uint64(500) {
		c.RecordOutcome(at(500), at(0), evidence.Subject{Incarnation: id}, probe.Unanswered)
	}
	require.Len(t, c.NextProbes(at(600), all), 64)
}
