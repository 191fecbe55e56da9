package router_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/view"
)

// Saturated links delayed answers beyond the callers' retransmission timeout. Balancers then suspected
// upstreams that had answered, and the messages about these suspicions used a third of the links.
func TestDelayedLinkCausesNoSuspicion(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		suspected := 0
		r := router.New(router.Settings{Zone: "a", Suspected: func(view.Target) { suspected++ }})
		require.NoError(t, r.Configure(configured(1)))
		r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(1, "orders", "a"), target(2, "orders", "a")})
		r.SetLinkDelayed(delayed)
		r.Route(epoch, opening(1))
		v := r.Route(epoch, opening(2))
		request := router.Packet{Caller: caller(2), Address: orders, Cookie: v.Cookie, Length: 100, Sequence: 1, Acknowledged: 1}
		r.Route(epoch, router.Packet{Caller: caller(2), Address: orders, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1})
		r.Route(epoch.Add(time.Millisecond), request)
		now := epoch.Add(210 * time.Millisecond)
		repeated := opening(1)
		repeated.Copy = 1
		require.Equal(t, router.Repeated, r.Route(now, repeated).Reason)
		require.True(t, r.Route(now, request).Retransmitted)
		events := r.Reports()
		if !delayed {
			require.Len(t, events, 2)
			require.Equal(t, 2, suspected)
			continue
		}
		require.Empty(t, events)
		require.Zero(t, suspected)
		// An answer still refutes the voters' suspicion.
		r.SetSuspicions(now, map[evidence.Subject]suspicions.Suspicion{{Incarnation: v.Incarnation}: {First: now}})
		request.Acknowledged = 50
		r.Route(now.Add(time.Millisecond), request)
		events = r.Reports()
		require.Len(t, events, 1)
		require.True(t, events[0].Answered)
	}
}

// Callers complete handshakes late on a delayed link. The balancer counted their openings as
// abandoned, and sent no new flows to the zone.
func TestDelayedLinkRefusesNoZone(t *testing.T) {
	for _, delayed := range []bool{false, true} {
		refused := 0
		r := router.New(router.Settings{Zone: "a", ZoneRefused: func(string) { refused++ }})
		require.NoError(t, r.Configure(configured(1)))
		r.SetTargets(epoch.Add(-time.Minute), []view.Target{target(1, "orders", "a"), target(2, "notes", "b")})
		r.SetLinkDelayed(delayed)
		for n := range 10 {
			r.Route(epoch, opening(n))
		}
		r.Tick(epoch.Add(300 * time.Millisecond))
		require.Equal(t, !delayed, refused > 0)
	}
}

// Guards against counting bytes twice: bytes of flows placed here are counted when the flow is
// admitted, those of other flows and of retransmissions when they pass.
func TestVerdictTellsFlowsPlacedHere(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"))
	v := r.Route(epoch, opening(1))
	packet := router.Packet{Caller: caller(1), Address: orders, Cookie: v.Cookie, Sequence: 1, Acknowledged: 1}
	require.True(t, r.Route(epoch, packet).OpenedHere)
	packet.Length = 100
	require.False(t, r.Route(epoch, packet).Retransmitted)
	require.True(t, r.Route(epoch, packet).Retransmitted)
	packet.Sequence, packet.Length, packet.Finish = 101, 0, true
	require.True(t, r.Route(epoch, packet).OpenedHere)
	packet.Caller = caller(2)
	require.False(t, r.Route(epoch, packet).OpenedHere, "another balancer placed the flow")
	r.Route(epoch, opening(3))
	packet.Caller, packet.Finish = caller(3), false
	require.True(t, r.Route(epoch.Add(499*time.Millisecond), packet).OpenedHere)
	require.False(t, r.Route(epoch.Add(500*time.Millisecond), packet).OpenedHere, "the flow is no longer new")
}

// Guards against openings that count as overtaken, or as pending for good: the time is that of the latest
// flow whose handshake has completed, in any order and after retransmissions.
func TestLatestCompleted(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"))
	require.Zero(t, r.LatestCompleted())
	var cookie uint32
	placed := func(n int) time.Time { return epoch.Add(time.Duration(n) * 10 * time.Millisecond) }
	for n := range 3 {
		cookie = r.Route(placed(n), opening(n)).Cookie
	}
	repeated := opening(1)
	repeated.Copy = 1
	now := epoch.Add(200 * time.Millisecond)
	r.Route(now, repeated)
	for _, x := range []struct{ completed, latest int }{{1, 1}, {0, 1}, {2, 2}} {
		now = now.Add(time.Millisecond)
		r.Route(now, router.Packet{Caller: caller(x.completed), Address: orders, Cookie: cookie, Sequence: 1, Acknowledged: 1})
		require.Equal(t, placed(x.latest), r.LatestCompleted())
	}
	base, known := r.BaseHandshake(now)
	require.True(t, known)
	require.Equal(t, 183*time.Millisecond, base)
}

func TestNewFlow(t *testing.T) {
	r := newRouter(t, target(1, "orders", "a"))
	f, isNew := r.NewFlow(epoch, opening(1))
	require.True(t, isNew)
	require.True(t, f.Urgent, "there is no demand of a better priority")
	r.Route(epoch, opening(1))
	_, isNew = r.NewFlow(epoch, opening(1))
	require.False(t, isNew, "the flow is stored")
	_, isNew = r.NewFlow(epoch, router.Packet{Opening: true})
	require.False(t, isNew, "there is no route")
	_, known := r.LinkDelay(epoch)
	require.False(t, known)
}
