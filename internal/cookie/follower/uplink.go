package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/wire/rpc"
)

const (
	// reportInterval is the minimum time between two reports to a voter or parent. It batches the
	// evidence about several upstreams.
	reportInterval = 20 * time.Millisecond
	// reportTimeout bounds one report; evidence older than that is worthless.
	reportTimeout = 300 * time.Millisecond
	// maxEvents bounds the events of one report, at 40 bytes each.
	maxEvents = 64
	// maxAnsweredEvents bounds a report that consists of liveness reports only.
	maxAnsweredEvents = 2 * maxEvents
	// firstFollowerReport is the delay of the first follower report to a new parent or voter. It is
	// short so that restarted voters relearn the fleet soon.
	firstFollowerReport = 200 * time.Millisecond
)

// pendingEvent is an event with the balancer that observed it and the time of its arrival here.
type pendingEvent struct {
	evidence.Event
	from string
	at   time.Time
}

// uplink reports to one voter or parent which upstreams left packets unanswered or answer again,
// and which balancers follow this one.
type uplink struct {
	token, to string
	clock     func() time.Time
	log       hclog.Logger
	// followerReport returns the followers to report, none if the target is not to receive any.
	followerReport func() []members.Heartbeat
	mu             sync.Mutex
	pending        []pendingEvent
	wake           chan struct{}
}

// enqueue adds a balancer's events to the next report. Above the limit, the oldest unanswered
// packets are dropped, as the least significant events. A lost liveness report could mark a live
// upstream as unresponsive.
func (u *uplink) enqueue(from string, events []evidence.Event) {
	now := u.clock()
	u.mu.Lock()
	for _, e := range events {
		u.pending = append(u.pending, pendingEvent{Event: e, from: from, at: now})
	}
	excess := len(u.pending) - maxEvents
	u.pending = slices.DeleteFunc(u.pending, func(s pendingEvent) bool {
		excess--
		return excess >= 0 && !s.Answered
	})
	u.pending = u.pending[max(len(u.pending)-maxAnsweredEvents, 0):]
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// run sends one report at a time until the context ends.
func (u *uplink) run(ctx context.Context) {
	client := rpc.NewClient(u.to, u.token)
	defer client.Close()
	followerTimer := time.NewTimer(firstFollowerReport)
	defer followerTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-followerTimer.C:
			u.sendFollowers(ctx, client)
			followerTimer.Reset(members.ReportInterval)
			continue
		case <-u.wake:
		}
		u.sendReports(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}

// sendReports sends the pending events. Failed reports are not retried, since their evidence would
// be outdated.
func (u *uplink) sendReports(ctx context.Context, client *rpc.Client) {
	reports := u.drain()
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]evidence.Report, empty](ctx, client, feed.ReportsMethod, reports); err != nil {
		u.log.Debug("failed to report upstream events", "Address", u.to, "Error", err)
	}
}

// drain returns the pending reports, one per balancer, with up-to-date ages.
func (u *uplink) drain() []evidence.Report {
	now := u.clock()
	u.mu.Lock()
	defer u.mu.Unlock()
	byBalancer := lo.GroupBy(u.pending, func(s pendingEvent) string { return s.from })
	u.pending = nil
	return lo.MapToSlice(byBalancer, func(from string, all []pendingEvent) evidence.Report {
		return evidence.Report{From: from, Events: lo.Map(all, func(s pendingEvent, _ int) evidence.Event {
			s.Age += now.Sub(s.at)
			return s.Event
		})}
	})
}

func (u *uplink) sendFollowers(ctx context.Context, client *rpc.Client) {
	all := u.followerReport()
	if len(all) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]members.Heartbeat, empty](ctx, client, feed.RecordFollowersMethod, all); err != nil {
		u.log.Debug("failed to report followers", "Address", u.to, "Error", err)
	}
}

type empty struct{}
