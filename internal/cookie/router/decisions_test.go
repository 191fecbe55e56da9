package router_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/status"
)

func ordersState(t *testing.T, r *router.Router, now time.Time) router.ServiceState {
	x, found := lo.Find(r.Decisions(now), func(x router.ServiceState) bool { return x.Service == "orders" })
	require.True(t, found)
	return x
}

// Guards against a state that differs from what the verdicts on flows say, and against counts that are
// never reset.
func TestStateShowsAdmissionByUse(t *testing.T) {
	r := admissionRouter(t, 0)
	require.Empty(t, r.Decisions(epoch), "there is no view")
	open(r, epoch, 0)
	r.SetLoad(epoch, loadView(7, epoch, map[string]map[string]float64{"a": {"a": 4, "b": 12}, "b": {"b": 12}}))
	_, ordinary := open(r, epoch, 1)
	require.Equal(t, router.Overloaded, ordinary.Reason)
	x := ordersState(t, r, epoch)
	require.True(t, x.UseKnown)
	require.InDelta(t, ordinary.Use, x.Use, 1e-9)
	require.Equal(t, status.Admission{Limit: ordinary.SlotLimit, RejectedShare: 1}, x.Ordinary)
	require.Equal(t, 5.0, x.Urgent.Limit)
	require.Zero(t, x.Urgent.RejectedShare)
	require.Equal(t, [report.Tiers]int{report.Ordinary: 1}, x.Rejected)
	r.TakeRejected("orders")
	require.Zero(t, ordersState(t, r, epoch).Rejected)

	x = ordersState(t, r, epoch.Add(2*time.Second))
	require.False(t, x.UseKnown, "the view is too old")
	require.Zero(t, x.Ordinary)
}

// Guards against limits that are shown although admission by use is disabled, and against usable slots
// that nothing counts while placement by zone is.
func TestStateWithoutDecisions(t *testing.T) {
	off, err := mechanism.Parse("ZoneAdmission,ZonePlacement")
	require.NoError(t, err)
	r := admissionRouter(t, off)
	r.SetLoad(epoch, localLoad(1, epoch, 20))
	open(r, epoch, 1)
	x := ordersState(t, r, epoch)
	require.False(t, x.UseKnown)
	require.Zero(t, x.Ordinary)
	require.Zero(t, x.Rejected)
	require.Equal(t, map[string]float64{"a": 4, "b": 4}, x.Usable)
}

// Guards against shares and usable slots that differ from those by which flows are placed.
func TestStateShowsPlacementByZone(t *testing.T) {
	r := admissionRouter(t, 0)
	for i := range 40 {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		r.SetLoad(now, loadView(uint64(i+1), now, map[string]map[string]float64{"a": {"a": 5.6}, "b": {"b": 0.8}}))
	}
	now := epoch.Add(2 * time.Second)
	x := ordersState(t, r, now)
	require.Equal(t, map[string]float64{"a": 4, "b": 4}, x.Usable)
	require.InDelta(t, 1.4, x.OwnUse, 1e-9)
	require.InDelta(t, 0.8, x.Level, 1e-9)
	require.Len(t, x.Shares, 1)
	require.Equal(t, "b", x.Shares[0].Zone)
	spilled := 0
	for i := range 1000 {
		if v := r.Route(now, router.Packet{Caller: caller(i), Address: notes, Opening: true}); v.Zone == "b" {
			spilled++
		}
	}
	require.InDelta(t, x.Shares[0].Short, float64(spilled)/1000, 0.05)
}
