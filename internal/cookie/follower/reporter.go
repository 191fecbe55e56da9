package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/claims"
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
	// maxEvents is the number of events of one report, at 40 bytes each, above which unanswered
	// packets are dropped.
	maxEvents = 64
	// maxAnsweredEvents bounds a report whose liveness reports make it longer than maxEvents.
	maxAnsweredEvents = 2 * maxEvents
	// maxAnswersReports bounds the reports with counts of answers that wait to be sent.
	maxAnswersReports = 16
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

// reporter reports to one voter or parent which upstreams left packets unanswered or answer again,
// and which balancers follow this one.
type reporter struct {
	token, to string
	traffic   *rpc.Traffic
	clock     func() time.Time
	log       hclog.Logger
	// followerReport returns the followers to report, none if the target is not to receive any.
	followerReport func() []members.Heartbeat
	mu             sync.Mutex
	pending        []pendingEvent
	// pendingAnswers holds reports with counts of answers, in the order of arrival.
	pendingAnswers []evidence.Report
	// pendingClaims are the claims to send, and claimsEnqueued is when claims were last added.
	pendingClaims  claims.Set
	claimsEnqueued time.Time
	wake           chan struct{}
}

// enqueue adds a balancer's events to the next report. If there are more than maxEvents, the excess
// oldest events are dropped, except for liveness reports: the loss of a liveness report could make
// a live upstream unresponsive. More than maxAnsweredEvents are never kept.
func (r *reporter) enqueue(from string, events []evidence.Event) {
	now := r.clock()
	r.mu.Lock()
	for _, e := range events {
		r.pending = append(r.pending, pendingEvent{Event: e, from: from, at: now})
	}
	excess := len(r.pending) - maxEvents
	r.pending = slices.DeleteFunc(r.pending, func(s pendingEvent) bool {
		excess--
		return excess >= 0 && !s.Answered
	})
	r.pending = r.pending[max(len(r.pending)-maxAnsweredEvents, 0):]
	r.mu.Unlock()
	r.notify()
}

// enqueueAnswers adds a balancer's counts of answers to the next report.
func (r *reporter) enqueueAnswers(report evidence.Report) {
	r.mu.Lock()
	r.pendingAnswers = append(r.pendingAnswers, report)
	r.pendingAnswers = r.pendingAnswers[max(len(r.pendingAnswers)-maxAnswersReports, 0):]
	r.mu.Unlock()
	r.notify()
}

func (r *reporter) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends one report at a time until the context ends.
func (r *reporter) run(ctx context.Context) {
	client := rpc.NewClient(r.to, r.token).CountTraffic(r.traffic)
	defer client.Close()
	followerTimer := time.NewTimer(firstFollowerReport)
	defer followerTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-followerTimer.C:
			r.sendFollowers(ctx, client)
			followerTimer.Reset(members.ReportInterval)
			continue
		case <-r.wake:
		}
		r.sendClaims(ctx, client)
		r.sendReports(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}

// sendReports sends the pending events. Failed reports are not retried, since their evidence would
// be outdated.
func (r *reporter) sendReports(ctx context.Context, client *rpc.Client) {
	reports := r.drain()
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]evidence.Report, empty](ctx, client, feed.ReportsMethod, reports); err != nil {
		r.log.Debug("failed to report upstream events", "Address", r.to, "Error", err)
	}
}

// drain returns the pending reports, one per balancer, with up-to-date ages.
func (r *reporter) drain() []evidence.Report {
	now := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	byBalancer := lo.GroupBy(r.pending, func(s pendingEvent) string { return s.from })
	r.pending = nil
	answers := r.pendingAnswers
	r.pendingAnswers = nil
	return append(answers, lo.MapToSlice(byBalancer, func(from string, all []pendingEvent) evidence.Report {
		return evidence.Report{From: from, Events: lo.Map(all, func(s pendingEvent, _ int) evidence.Event {
			s.Age += now.Sub(s.at)
			return s.Event
		})}
	})...)
}

func (r *reporter) sendFollowers(ctx context.Context, client *rpc.Client) {
	all := r.followerReport()
	if len(all) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]members.Heartbeat, empty](ctx, client, feed.RecordFollowersMethod, all); err != nil {
		r.log.Debug("failed to report followers", "Address", r.to, "Error", err)
	}
}

type empty struct{}
