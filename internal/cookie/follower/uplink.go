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
	"wasabideal/internal/silence/word"
	"wasabideal/internal/wire/rpc"
)

const (
	// reportEvery is the least time between two reports to a voter or parent: evidence of
	// some upstreams comes together.
	reportEvery = 20 * time.Millisecond
	// reportTimeout bounds one report. Later, its evidence is worth nothing.
	reportTimeout = 300 * time.Millisecond
	// eventsMost bounds the events of one report, 40 bytes each.
	eventsMost = 64
	// answersMost bounds it where all are liveness reports.
	answersMost = 2 * eventsMost
	// attendFirst is when the followers are first reported to a new parent or voter: soon,
	// so that voters that restarted know the fleet again.
	attendFirst = 200 * time.Millisecond
)

// seen is an event with who saw it, and the time at which it was known here.
type seen struct {
	word.Event
	from string
	at   time.Time
}

// uplink tells one voter or parent of upstreams that leave packets unanswered or answer
// again, and of the balancers that follow this one.
type uplink struct {
	token, to string
	clock     func() time.Time
	log       hclog.Logger
	// attendance is whom to report there, none while nothing is to be.
	attendance func() []members.Attendance
	mu         sync.Mutex
	waiting    []seen
	wake       chan struct{}
}

// tell adds events of a balancer to the next report. Where too many wait, the oldest
// unanswered packets are dropped: they count least. A liveness report that got lost would let
// an upstream count as unresponsive that lives.
func (u *uplink) tell(from string, events []word.Event) {
	now := u.clock()
	u.mu.Lock()
	for _, e := range events {
		u.waiting = append(u.waiting, seen{Event: e, from: from, at: now})
	}
	excess := len(u.waiting) - eventsMost
	u.waiting = slices.DeleteFunc(u.waiting, func(s seen) bool {
		excess--
		return excess >= 0 && !s.Answered
	})
	u.waiting = u.waiting[max(len(u.waiting)-answersMost, 0):]
	u.mu.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// run sends reports until the context ends, the next once the last was taken.
func (u *uplink) run(ctx context.Context) {
	client := rpc.NewClient(u.to, u.token)
	defer client.Close()
	attend := time.NewTimer(attendFirst)
	defer attend.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-attend.C:
			u.attend(ctx, client)
			attend.Reset(members.AttendEvery)
			continue
		case <-u.wake:
		}
		u.send(ctx, client)
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportEvery):
		}
	}
}

// send sends what waits; what is not taken is old by the next report.
func (u *uplink) send(ctx context.Context, client *rpc.Client) {
	reports := u.take()
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]word.Report, empty](ctx, client, feed.ReportsMethod, reports); err != nil {
		u.log.Debug("silence not reported", "Address", u.to, "Error", err)
	}
}

// take returns the reports that wait, one of each balancer, with their ages as of now.
func (u *uplink) take() []word.Report {
	now := u.clock()
	u.mu.Lock()
	defer u.mu.Unlock()
	byBalancer := lo.GroupBy(u.waiting, func(s seen) string { return s.from })
	u.waiting = nil
	return lo.MapToSlice(byBalancer, func(from string, all []seen) word.Report {
		return word.Report{From: from, Events: lo.Map(all, func(s seen, _ int) word.Event {
			s.Age += now.Sub(s.at)
			return s.Event
		})}
	})
}

func (u *uplink) attend(ctx context.Context, client *rpc.Client) {
	all := u.attendance()
	if len(all) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]members.Attendance, empty](ctx, client, feed.AttendMethod, all); err != nil {
		u.log.Debug("followers not reported", "Address", u.to, "Error", err)
	}
}

type empty struct{}
