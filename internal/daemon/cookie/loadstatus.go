package cookie

import (
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/status"
)

// loadStatus returns the load of all zones as known here, and the state of the decisions that use it.
func (b *Balancer) loadStatus(address string) status.Status {
	now := b.settings.Clock()
	s := status.Status{Address: address, Balancer: &status.Balancer{Zone: b.settings.Zone}}
	if b.load != nil {
		s.Shared = true
		b.load.mu.Lock()
		view := b.load.view
		b.load.mu.Unlock()
		s.Version, s.Zones = view.Version, status.ViewZones(now, view)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s.Balancer.Services = lo.Map(b.router.Decisions(now), func(x router.ServiceState, _ int) status.Decision { return x.Decision })
	if b.link != nil {
		l := b.linkState()
		s.Balancer.LinkAdmission, s.Balancer.LinkUse, s.Balancer.LinkDelay = true, l.Use, l.Delay
	}
	return s
}

// zoneLog holds when the decisions by the load of all zones were last logged.
type zoneLog struct{ checked time.Time }

// logZoneDecisions logs once a second the shares and the limits in force. Each line is on one service:
// the one with the highest use of its own zone, or with the most rejected flows since its last line.
func (b *Balancer) logZoneDecisions(now time.Time) {
	if !b.settings.SharedLoad || now.Sub(b.zoneLog.checked) < summaryInterval {
		return
	}
	b.zoneLog.checked = now
	states := b.router.Decisions(now)
	sending := lo.Filter(states, func(x router.ServiceState, _ int) bool { return len(x.Shares) > 0 })
	if len(sending) > 0 {
		x := lo.MaxBy(sending, func(x, most router.ServiceState) bool { return x.OwnUse > most.OwnUse })
		b.log.Info("zone placement", "Service", x.Service, "Shares", x.Shares, "OwnUse", x.OwnUse, "Level", x.Level, "MoreServices", len(sending)-1)
	}
	limited := lo.Filter(states, func(x router.ServiceState, _ int) bool {
		return rejectedFlows(x) > 0 || x.Urgent.RejectedShare > 0 || x.Ordinary.RejectedShare > 0
	})
	if len(limited) > 0 {
		x := lo.MaxBy(limited, func(x, most router.ServiceState) bool { return rejectedFlows(x) > rejectedFlows(most) })
		b.log.Info("zone admission", "Service", x.Service, "Use", x.Use, "UrgentLimit", x.Urgent.Limit, "OrdinaryLimit", x.Ordinary.Limit,
			"RejectedUrgent", x.Rejected[report.Urgent], "RejectedOrdinary", x.Rejected[report.Ordinary], "MoreServices", len(limited)-1)
		b.router.TakeRejected(x.Service)
	}
}

func rejectedFlows(x router.ServiceState) int {
	return x.Rejected[report.Urgent] + x.Rejected[report.Ordinary]
}
