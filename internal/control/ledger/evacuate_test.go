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

func order(t require.TestingT, l *ledger.Ledger, key, zone string, on bool, expect uint64) ledger.Answer {
	data, err := ledger.Encode(ledger.Change{
		ChangeKey: key, ExpectRevision: expect, Who: "test", Evacuate: &ledger.Evacuation{Zone: zone, On: on},
	})
	require.NoError(t, err)
	_, answer, _ := l.Apply(data)
	return answer
}

// Symptom: a zone that operators had taken back got no flows any more.
// Events: an order to evacuate waits in a voter that stands still; its caller orders again
// elsewhere, and later takes the zone back; then the voter goes on and proposes the first.
// Cause: orders carry no number, and the last one to arrive counted.
func TestDelayedOrderDoesNotUndoALaterOne(t *testing.T) {
	l := ledger.New()
	require.Equal(t, ledger.Accepted, order(t, l, "again", "a", true, 0).Verdict)
	require.Equal(t, ledger.Accepted, order(t, l, "back", "a", false, 1).Verdict)
	late := order(t, l, "delayed", "a", true, 0)
	require.Equal(t, ledger.Conflict, late.Verdict)
	require.Equal(t, "back", late.WinnerKey)
	require.False(t, l.Evacuations().Evacuated("a"))
}

func TestOrderForWhatIsSoAlreadyIsAccepted(t *testing.T) {
	l := ledger.New()
	require.Equal(t, ledger.Superseded, order(t, l, "end first", "a", false, 0).Verdict)
	require.Equal(t, ledger.Accepted, order(t, l, "start", "a", true, 0).Verdict)
	require.Equal(t, ledger.Superseded, order(t, l, "again", "a", true, 0).Verdict)
	require.Equal(t, uint64(1), l.Evacuations().Revision)
	require.Equal(t, ledger.Accepted, order(t, l, "other zone", "b", true, 0).Verdict, "zones are ordered by themselves")
	require.Equal(t, ledger.Invalid, order(t, l, "no name", "", true, 0).Verdict)
}

func TestSnapshotHoldsEvacuations(t *testing.T) {
	l := ledger.New()
	order(t, l, "start", "a", true, 0)
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(data))
	require.Equal(t, l.Evacuations().Names(), restored.Evacuations().Names())
	require.Equal(t, l.Evacuations().Revision, restored.Evacuations().Revision)
}

// Symptom: a voter does not start after an upgrade.
// Events: its disk holds a snapshot that was written before there were evacuations.
// Cause: a snapshot of another length could not be read.
func TestSnapshotOfAnEarlierVersionIsRead(t *testing.T) {
	type image struct {
		_       struct{} `cbor:",toarray"`
		Current configuration.Configuration
		Answers []any
		Last    ledger.Change
		Roster  roster.Roster
	}
	data, err := cbor.Marshal(image{Current: configuration.Configuration{Revision: 7}})
	require.NoError(t, err)
	l := ledger.New()
	require.NoError(t, l.Restore(data))
	require.Equal(t, uint64(7), l.Current().Revision)
	require.Zero(t, l.Evacuations().Revision)
}

// Whatever order delayed, repeated and racing orders arrive in, a zone is as the last order
// says that was acknowledged for a state known after the order before it.
func TestAcknowledgedOrdersAreNeverUndoneByOlderOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New()
		type sent struct {
			on     bool
			expect uint64
			at     int
		}
		var delayed []sent
		last, lastAt := false, -1
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			x := sent{on: rapid.Bool().Draw(t, "on"), expect: l.Evacuations().Of("a").Revision, at: i}
			if rapid.Bool().Draw(t, "delayed") {
				delayed = append(delayed, x)
				continue
			}
			if len(delayed) > 0 && rapid.Bool().Draw(t, "old") {
				j := rapid.IntRange(0, len(delayed)-1).Draw(t, "which")
				x = delayed[j]
			}
			switch a := order(t, l, fmt.Sprint("key-", i), "a", x.on, x.expect); a.Verdict {
			case ledger.Accepted:
				require.Greater(t, x.at, lastAt, "an order from before the last change came in force")
				last, lastAt = x.on, i
			case ledger.Superseded:
				require.Equal(t, last, x.on)
			case ledger.Conflict, ledger.Invalid:
			}
			require.Equal(t, last, l.Evacuations().Evacuated("a"))
		}
	})
}
