package evidence_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/silence/evidence"
)

// formerReport is evidence.Report as it was before it counted answers.
type formerReport struct {
	From   string
	Events []evidence.Event
}

func exchange[Out any](t *testing.T, in any) (Out, []byte) {
	b, err := cbor.Marshal(in)
	require.NoError(t, err)
	var out Out
	require.NoError(t, cbor.Unmarshal(b, &out))
	return out, b
}

// During an update, balancers and voters of both versions run. A voter that rejected reports with
// unknown fields would lose the evidence of unanswered packets.
func TestReportsOfBothVersions(t *testing.T) {
	events := []evidence.Event{{Incarnation: 1, Born: 2, Zone: "a", Weight: 4}}
	answers := []evidence.Answers{{
		Service: "orders", Total: 9, Short: 1, Upstreams: 3,
		Zones: []evidence.ZoneAnswers{{Zone: "a", Slots: 6, Counts: []evidence.Count{{Cookie: 7, Total: 2, Short: 1, Slots: 2}}}},
	}}
	full := evidence.Report{From: "b1", Events: events, Batch: 5, Answers: answers}
	former, _ := exchange[formerReport](t, full)
	require.Equal(t, formerReport{From: "b1", Events: events}, former)
	later, _ := exchange[evidence.Report](t, former)
	require.Equal(t, evidence.Report{From: "b1", Events: events}, later)
	same, _ := exchange[evidence.Report](t, full)
	require.Equal(t, full, same)
	_, before := exchange[formerReport](t, former)
	_, after := exchange[evidence.Report](t, later)
	require.Equal(t, before, after, "without counts, the bytes are as before")
}

// A report is sent four times a second by each balancer, on links of 2 Mbit/s.
func TestSizeOfFullReport(t *testing.T) {
	a := evidence.Answers{Service: "orders", Total: 100, Short: 20, Upstreams: 120, Zones: []evidence.ZoneAnswers{{Zone: "zone-a", Slots: 240}}}
	for n := range uint32(32) {
		a.Zones[0].Counts = append(a.Zones[0].Counts, evidence.Count{Cookie: 1<<31 + n, Total: 3, Short: 1, Slots: 2})
	}
	_, b := exchange[evidence.Report](t, evidence.Report{From: "10.0.0.1:7720", Batch: 1 << 60, Answers: []evidence.Answers{a}})
	t.Logf("%d bytes", len(b))
	require.LessOrEqual(t, len(b), 400)
	_, b = exchange[evidence.Reduced](t, evidence.Reduced{Cookie: 1 << 31, Halvings: 2, Ratio: 9, Total: 40, Short: 18, OthersPermille: 110})
	t.Logf("verdict of %d bytes", len(b))
	require.LessOrEqual(t, len(b), 16)
}

// A malformed report must not stop a voter.
func FuzzReport(f *testing.F) {
	b, err := cbor.Marshal(evidence.Report{From: "b", Batch: 1, Answers: []evidence.Answers{{Zones: []evidence.ZoneAnswers{{Counts: []evidence.Count{{Cookie: 1}}}}}}})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, data []byte) {
		var r evidence.Report
		if cbor.Unmarshal(data, &r) != nil {
			return
		}
		encoded, err := cbor.Marshal(r)
		require.NoError(t, err)
		var again evidence.Report
		require.NoError(t, cbor.Unmarshal(encoded, &again))
	})
}
