package view_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/view"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newView() *view.View {
	return view.New(view.Settings{ContactLease: 3 * time.Second, InheritFor: 4 * time.Second, ForgetAfter: time.Minute})
}

func notice(sequence uint64, s upstream.State) directory.Notice {
	return directory.Notice{Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:80")},
		Sequence: sequence, State: s,
	}}
}

func after(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func TestOneVoterThatHearsAnUpstreamIsEnough(t *testing.T) {
	v := newView()
	silent := notice(5, upstream.Ready)
	silent.Silent = true
	v.Take(epoch, "v1", 1, []directory.Notice{silent})
	v.Take(epoch, "v2", 1, []directory.Notice{notice(7, upstream.Ready)})
	require.True(t, v.Targets(epoch)[0].Live)
	require.Equal(t, uint64(7), v.Targets(epoch)[0].Sequence)
}

// Symptom: a draining upstream got new flows after its departure was acknowledged.
// Events: it tells one voter that it drains; another voter's older word that it
// is ready reaches the balancer later.
// Cause: the word that came last won, not the one with the higher sequence.
func TestOlderWordDoesNotUndoADeparture(t *testing.T) {
	v := newView()
	v.Take(epoch, "v1", 1, []directory.Notice{notice(9, upstream.Draining)})
	v.Take(after(1), "v2", 1, []directory.Notice{notice(8, upstream.Ready)})
	require.Equal(t, upstream.Draining, v.Targets(after(1))[0].State)
	v.Take(after(2), "v2", 1, []directory.Notice{notice(8, upstream.Withdrawn)})
	v.Take(after(3), "v1", 1, []directory.Notice{notice(12, upstream.Ready)})
	require.True(t, v.Targets(after(3))[0].Ended)
	require.False(t, v.Targets(after(3))[0].Live)
}

// Symptom: balancers had no upstream for seconds after a voter's restart.
// Events: the only voter in reach restarts and has heard nothing yet.
// Cause: its empty answer replaced what it had told before.
func TestRestartedVoterTakesNothingAway(t *testing.T) {
	v := newView()
	v.Take(epoch, "v1", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.Take(after(1), "v1", 2, nil)
	require.True(t, v.Targets(after(1))[0].Live)
	v.Take(after(6), "v1", 2, nil)
	require.False(t, v.Targets(after(6))[0].Live, "unless nobody hears it again")
	v.Take(after(7), "v1", 2, []directory.Notice{notice(3, upstream.Ready)})
	require.True(t, v.Targets(after(7))[0].Live)
}

func TestVoterOutOfReachDoesNotVouchUnlessAllAre(t *testing.T) {
	v := newView()
	v.Take(epoch, "far", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.Take(epoch, "near", 1, nil)
	v.Take(after(5), "near", 1, nil)
	require.False(t, v.Targets(after(5))[0].Live)
	require.True(t, v.Targets(after(20))[0].Live, "cut off from all voters, the last word holds")
}

func TestReplacedIncarnationEndsOnlyWhereNobodyHearsIt(t *testing.T) {
	v := newView()
	replaced := notice(1, upstream.Ready)
	replaced.Replaced = true
	v.Take(epoch, "v1", 1, []directory.Notice{replaced})
	v.Take(epoch, "v2", 1, []directory.Notice{notice(2, upstream.Ready)})
	require.False(t, v.Targets(epoch)[0].Ended)
	v.Take(epoch, "v2", 1, []directory.Notice{replaced})
	require.True(t, v.Targets(epoch)[0].Ended)
}

func TestTimeAloneMakesAViewOutdated(t *testing.T) {
	v := newView()
	v.Take(epoch, "v1", 1, []directory.Notice{notice(1, upstream.Ready)})
	v.Take(epoch, "v2", 1, nil)
	v.Targets(epoch)
	require.False(t, v.Outdated(after(2)))
	v.Take(after(2), "v2", 1, nil)
	require.True(t, v.Outdated(after(4)), "v1 has not answered for longer than its lease")
	v.Targets(after(4))
	require.False(t, v.Outdated(after(4)))
	v.Take(after(4), "v1", 2, nil)
	v.Targets(after(4))
	v.Take(after(7), "v1", 2, nil)
	v.Take(after(7), "v2", 1, nil)
	require.False(t, v.Outdated(after(7)))
	v.Take(after(9), "v1", 2, nil)
	v.Take(after(9), "v2", 1, nil)
	require.True(t, v.Outdated(after(9)), "what v1 heard before its restart counts no more")
}
