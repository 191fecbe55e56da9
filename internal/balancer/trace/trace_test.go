package trace_test

import (
	"bytes"
	"errors"
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/balancer/trace"
	"wasabideal/internal/core/effect"
	"wasabideal/internal/core/event"
	"wasabideal/internal/flow/router"
	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/standin/segment"
	"wasabideal/internal/upstream/registry"
	"wasabideal/internal/wire/gue"
)

var update = flag.Bool("update", false, "write the golden files")

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const tokenDigest = "1f8f21a1b5bb4e4de6e1a4c1d8f7ad1a0f0c9bd0ce1b6a2a1f3f2b0f0d3c5c11"

// recorder feeds events to a reducer and records them.
type recorder struct {
	t       *testing.T
	now     time.Time
	reducer *reducer.Reducer
	writer  *trace.Writer
}

func (r *recorder) feed(e event.Event) {
	r.now = r.now.Add(100 * time.Millisecond)
	require.NoError(r.t, r.writer.Write(r.now, e))
	var out effect.List
	_ = r.reducer.Reduce(r.now, e, &out)
}

func (r *recorder) packet(s segment.Segment) {
	p, err := s.Packet()
	require.NoError(r.t, err)
	h := gue.New()
	r.feed(event.Event{Kind: event.FabricDatagram, Data: append(h[:len(h):len(h)], p...)})
}

// record returns the trace of one balancer: a configuration, an upstream announced with
// a wrong and then the right token, flows, invalid datagrams, a stale configuration and
// a planned stop.
func record(t *testing.T) []byte {
	settings := reducer.Settings{
		Router: router.Settings{
			Self: "b1", Zone: "Adabiya", Address: netip.MustParseAddrPort("127.0.0.1:7400"), MaxFlows: 1000, Settle: 30 * time.Second,
			OpeningTimeout: 10 * time.Second, IdleTimeout: time.Hour, ClosingTimeout: time.Minute, RepairBytes: 100, Lost: router.LostCandidate,
		},
		Swim: swim.Settings{
			Self: swim.Member{Name: "b1", Zone: "Adabiya", Address: netip.MustParseAddrPort("127.0.0.1:7400"), Start: 1}, Token: "group",
			IndirectAfter: 200 * time.Millisecond, SuspectAfter: 500 * time.Millisecond, DeadAfter: time.Second,
			ForgetAfter: time.Hour, BytesPerSecond: 3000,
		},
		Registry: registry.Settings{Zone: "Adabiya", Lease: time.Minute, Tombstone: time.Minute, Quarantine: time.Second},
		BusyKeep: time.Second, FetchEvery: time.Second,
	}
	var b bytes.Buffer
	r := &recorder{t: t, now: epoch, reducer: reducer.New(settings, epoch), writer: trace.NewWriter(&b)}
	require.NoError(t, r.writer.Begin(epoch, settings))
	service := netip.MustParseAddrPort("10.20.0.1:443")
	c := configuration.Configuration{
		Revision: 2, InForce: "ordinary", Presets: []configuration.Preset{{Name: "ordinary", SlotLimit: 2}},
		Services: []configuration.Service{{Name: "orders", Protocol: configuration.TCP, Addresses: []netip.AddrPort{service}, TokenSha256: tokenDigest}},
	}
	r.feed(event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	u := upstream.Upstream{Identity: upstream.Identity{Service: "orders", Address: netip.MustParseAddrPort("127.0.0.2:6080"), Incarnation: 1}, Zone: "Adabiya", Slots: 2}
	r.feed(event.Event{Kind: event.UpstreamAnnounced, Upstream: &u, TokenSha256: "wrong"})
	r.feed(event.Event{Kind: event.UpstreamAnnounced, Upstream: &u, TokenSha256: tokenDigest})
	for range 20 {
		r.feed(event.Event{Kind: event.Ticked})
	}
	caller := netip.MustParseAddrPort("100.64.0.1:40000")
	r.packet(segment.Segment{Source: caller, Destination: service, SYN: true, Seq: 1})
	r.packet(segment.Segment{Source: caller, Destination: service, ACK: true, Seq: 2})
	r.packet(segment.Segment{Source: caller, Destination: netip.MustParseAddrPort("10.99.0.1:443"), SYN: true})
	r.feed(event.Event{Kind: event.FabricDatagram, Data: []byte{0, 4, 0, 0, 1, 2, 3}})
	r.feed(event.Event{Kind: event.PeerDatagram, From: caller, Data: []byte{2, 0, 0}})
	old := c.WithRevision(1)
	r.feed(event.Event{Kind: event.ConfigurationReceived, Configuration: &old})
	r.feed(event.Event{Kind: event.StopPlanned})
	for range 25 {
		r.feed(event.Event{Kind: event.Ticked})
	}
	r.feed(event.Event{Kind: event.Stopped})
	return b.Bytes()
}

// TestReplayGivesTheRecordedEffects compares the replay of a stored trace byte for byte.
func TestReplayGivesTheRecordedEffects(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile("testdata/day.jsonl", record(t), 0o600))
	}
	recorded, err := os.ReadFile("testdata/day.jsonl")
	require.NoError(t, err)
	var effects bytes.Buffer
	require.NoError(t, trace.Replay(bytes.NewReader(recorded), &effects, "group"))
	if *update {
		require.NoError(t, os.WriteFile("testdata/day.effects.jsonl", effects.Bytes(), 0o600))
	}
	want, err := os.ReadFile("testdata/day.effects.jsonl")
	require.NoError(t, err)
	require.Equal(t, string(want), effects.String())
	require.Equal(t, string(recorded), string(record(t)), "recording must be deterministic")
}

func TestMalformedErrorReportsTheLine(t *testing.T) {
	for text, line := range map[string]int{
		"not json\n":                            1,
		`{"Now":"2026-01-01T00:00:00Z"}` + "\n": 1,
		`{"Now":"2026-01-01T00:00:00Z","Event":{"Kind":"Ticked"}}` + "\n": 1,
	} {
		err := trace.Replay(strings.NewReader(text), &bytes.Buffer{}, "")
		var malformed *trace.MalformedError
		require.True(t, errors.As(err, &malformed), text)
		require.Equal(t, line, malformed.Line)
	}
}
