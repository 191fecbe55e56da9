package feed

import (
	"context"
	"time"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/wire/rpc"
)

// AttendMethod is the call by which a balancer tells those that it follows who follows it.
const AttendMethod = "Feed.Attend"

func (f *Feed) serveFleet(r *rpc.Server, token string) {
	rpc.Handle(r, AttendMethod, token, func(_ context.Context, all []members.Attendance) (empty, error) {
		f.Attend(f.clock(), all)
		return empty{}, nil
	})
}

// SetZone names the voter's own availability zone.
func (f *Feed) SetZone(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zone = zone
}

// Attend notes the balancers that follow one that asks this voter.
func (f *Feed) Attend(now time.Time, all []members.Attendance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.fleet.Hear(now, a)
	}
}

// Fleet returns the balancers of an availability zone.
func (f *Feed) Fleet(zone string) []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.Zone(zone)
}

// tellFleet notes the balancer that asks and adds the balancers of its zone to the
// answer, where it does not know them. They go along with other news and are none: a
// place in the tree that is a second old does no harm.
func (f *Feed) tellFleet(now time.Time, q Question, a *Answer) {
	if q.Self == nil {
		return
	}
	f.fleet.Hear(now, members.Attendance{Member: *q.Self})
	a.Balancers = f.fleet.Len()
	a.FleetVersion = f.fleet.Version(q.Self.Zone)
	if q.Life != f.life || q.Fleet != a.FleetVersion {
		a.Fleet = f.fleet.Zone(q.Self.Zone)
	}
}
