package follower

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/wire/rpc"
)

const (
	// reportEvery is the least time between two reports to a voter: evidence of some
	// upstreams comes together.
	reportEvery = 20 * time.Millisecond
	// reportTimeout bounds one report. Later, its evidence is worth nothing.
	reportTimeout = 300 * time.Millisecond
	// eventsMost bounds the events of one report, 40 bytes each.
	eventsMost = 64
)

// seen is an event with the time at which it was seen here.
type seen struct {
	word.Event
	at time.Time
}

// reporter tells one voter of upstreams that leave packets unanswered, or answer again.
type reporter struct {
	token, from, to string
	clock           func() time.Time
	log             hclog.Logger
	mu              sync.Mutex
	waiting         []seen
	wake            chan struct{}
}

func newReporter(token, from, to string, clock func() time.Time, log hclog.Logger) *reporter {
	return &reporter{token: token, from: from, to: to, clock: clock, log: log, wake: make(chan struct{}, 1)}
}

// tell adds events to the next report. Where too many wait, the oldest are dropped: they
// count least.
func (r *reporter) tell(events []word.Event) {
	now := r.clock()
	r.mu.Lock()
	for _, e := range events {
		r.waiting = append(r.waiting, seen{Event: e, at: now})
	}
	r.waiting = r.waiting[max(len(r.waiting)-eventsMost, 0):]
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run sends reports until the context ends, the next once the last was taken.
func (r *reporter) run(ctx context.Context) {
	client := rpc.NewClient(r.to, r.token)
	defer client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.send(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportEvery):
		}
	}
}

// send sends what waits; what a voter does not take is old by the next report.
func (r *reporter) send(ctx context.Context, client *rpc.Client) {
	now := r.clock()
	r.mu.Lock()
	report := word.Report{From: r.from, Events: lo.Map(r.waiting, func(s seen, _ int) word.Event {
		s.Age += now.Sub(s.at)
		return s.Event
	})}
	r.waiting = nil
	r.mu.Unlock()
	if len(report.Events) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[word.Report, empty](ctx, client, feed.ReportMethod, report); err != nil {
		r.log.Debug("silence not reported", "Address", r.to, "Error", err)
	}
}

type empty struct{}
