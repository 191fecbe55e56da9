package feed

import (
	"context"
	"time"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/wire/rpc"
)

// RecordFollowersMethod is the RPC by which a balancer reports its followers to its parent or to the
// voters.
const RecordFollowersMethod = "Feed.Attend"

func (f *Feed) serveFleet(r *rpc.Server, token string) {
	rpc.Handle(r, RecordFollowersMethod, token, func(_ context.Context, all []members.Heartbeat) (empty, error) {
		f.RecordFollowers(f.clock(), all)
		return empty{}, nil
	})
}

// SetZone sets the voter's own availability zone.
func (f *Feed) SetZone(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zone = zone
}

// RecordFollowers records the direct and indirect followers of a balancer that polls this voter.
func (f *Feed) RecordFollowers(now time.Time, all []members.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range all {
		f.fleet.Refresh(now, a)
	}
}

// Fleet returns the known balancers of an availability zone.
func (f *Feed) Fleet(zone string) []member.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.Zone(zone)
}

// BalancersByZone returns the number of known balancers of each availability zone.
func (f *Feed) BalancersByZone() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleet.CountByZone()
}

// attachFleet records the polling balancer and adds the balancers of its zone to the response, if
// their list has changed. Such a change does not complete a poll: a position in the tree that is
// out of date for a second does no harm.
func (f *Feed) attachFleet(now time.Time, req Request, resp *Response) {
	if req.Self == nil {
		return
	}
	f.fleet.Refresh(now, members.Heartbeat{Member: *req.Self})
	resp.Balancers = f.fleet.Len()
	resp.FleetVersion = f.fleet.Version(req.Self.Zone)
	if req.Life != f.life || req.Fleet != resp.FleetVersion {
		resp.Fleet = f.fleet.Zone(req.Self.Zone)
	}
}
