package ledger_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/roster"
)

func applyEvacuation(t require.TestingT, l *ledger.Ledger, key, zone string, on bool, expect uint64) ledger.Answer {
	data, err := ledger.Encode(ledger.Change{
		ChangeKey: key, ExpectRevision: expect, Who: "test", Evacuate: &ledger.Evacuation{Zone: zone, On: on},
	})
	require.NoError(t, err)
	_, answer, _ := l.Apply(data)
	return answer
}

// An evacuation order waits in a stalled voter. The operator resends the order to another voter
// and later ends the evacuation; then the stalled voter proposes the first order. Orders carry no
// sequence number, so without the expected revision the order would apply, and the zone would
// receive no flows after its evacuation ended.
func TestDelayedOrderDoesNotUndoLaterOne(t *testing.T) {
	l := ledger.New()
	require.Equal(t, ledger.Accepted, applyEvacuation(t, l, "again", "a", true, 0).Verdict)
	require.Equal(t, ledger.Accepted, applyEvacuation(t, l, "back", "a", false, 1).Verdict)
	late := applyEvacuation(t, l, "delayed", "a", true, 0)
	require.Equal(t, ledger.Conflict, late.Verdict)
	require.Equal(t, "back", late.WinnerKey)
	require.False(t, l.Evacuations().Evacuated("a"))
}

func TestOrderThatMatchesCurrentStateIsAccepted(t *testing.T) {
	l := ledger.New()
	require.Equal(t, ledger.Superseded, applyEvacuation(t, l, "end first", "a", false, 0).Verdict)
	require.Equal(t, ledger.Accepted, applyEvacuation(t, l, "start", "a", true, 0).Verdict)
	require.Equal(t, ledger.Superseded, applyEvacuation(t, l, "again", "a", true, 0).Verdict)
	require.Equal(t, uint64(1), l.Evacuations().Revision)
	require.Equal(t, ledger.Accepted, applyEvacuation(t, l, "other zone", "b", true, 0).Verdict, "zones are independent")
	require.Equal(t, ledger.Invalid, applyEvacuation(t, l, "no name", "", true, 0).Verdict)
}

func TestSnapshotIncludesEvacuations(t *testing.T) {
	l := ledger.New()
	applyEvacuation(t, l, "start", "a", true, 0)
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, l.Evacuations().EvacuatedZones(), restored.Evacuations().EvacuatedZones())
	require.Equal(t, l.Evacuations().Revision, restored.Evacuations().Revision)
}

// A voter is upgraded. The snapshot on its disk was written by a version without evacuations and is
// shorter. The voter must still start.
func TestRestoreSnapshotOfEarlierVersion(t *testing.T) {
	type ledgerSnapshot struct {
		_       struct{} `cbor:",toarray"`
		Current configuration.Configuration
		Answers []any
		Last    ledger.Change
		Roster  roster.Roster
	}
	data, err := cbor.Marshal(ledgerSnapshot{Current: configuration.Configuration{Revision: 7}})
	require.NoError(t, err)
	l := ledger.New()
	require.NoError(t, l.Restore(data))
	require.Equal(t, uint64(7), l.Current().Revision)
	require.Zero(t, l.Evacuations().Revision)
}

// Checks that delayed, repeated and concurrent orders leave a zone in the state of the last
// accepted order. An order issued before the last accepted order was applied must not be accepted afterwards.
func TestAcknowledgedOrdersAreNotUndoneByOlderOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New()
		type order struct {
			on     bool
			expect uint64
			at     int
		}
		var delayed []order
		last, lastAt := false, -1
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			x := order{on: rapid.Bool().Draw(t, "on"), expect: l.Evacuations().Lookup("a").Revision, at: i}
			if rapid.Bool().Draw(t, "delayed") {
				delayed = append(delayed, x)
				continue
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "old") {
				j := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				x = delayed[j]
			}
			switch a := applyEvacuation(t, l, fmt.Sprint("key-", i), "a", x.on, x.expect); a.Verdict {
			case ledger.Accepted:
				require.Greater(t, x.at, lastAt, "accepted an order that was issued before the last accepted one was applied")
				last, lastAt = x.on, i
			case ledger.Superseded:
				require.Equal(t, last, x.on)
			case ledger.Conflict, ledger.Invalid:
			}
			require.Equal(t, last, l.Evacuations().Evacuated("a"))
		}
	})
}
