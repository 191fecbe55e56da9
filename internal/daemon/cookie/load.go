package cookie

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/zoneload/collector"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/schedule"
	"wasabideal/internal/zoneload/snapshot"
	"wasabideal/internal/zoneload/socket"
)

// LoadLoopError reports a load report of this balancer itself or of its parent. Balancers that
// include each other's figures would add them up without end.
type LoadLoopError struct{ Origin string }

func (e *LoadLoopError) Error() string {
	return fmt.Sprintf("load report of %s, which includes this balancer's load", e.Origin)
}

// ForeignLoadError reports a load report of another availability zone.
type ForeignLoadError struct{ Origin, Zone string }

func (e *ForeignLoadError) Error() string {
	return fmt.Sprintf("load report of %s in zone %s", e.Origin, e.Zone)
}

// StaleLoadError reports a load report that is not newer than the one held, or too old.
type StaleLoadError struct{ Origin string }

func (e *StaleLoadError) Error() string { return "stale load report of " + e.Origin }

// StaleAnswerError reports an answer to a load report that is not awaited any more.
type StaleAnswerError struct{ From string }

func (e *StaleAnswerError) Error() string { return "stale answer to a load report from " + e.From }

// loadSettings connect a loadExchange to its balancer.
type loadSettings struct {
	clock func() time.Time
	// self is the RPC address of the balancer, life the start time of its process in ns.
	self, zone string
	life       uint64
	// receivers returns the parent, or "" and the voters that answer.
	receivers func() (parent string, voters []string)
	// load returns the balancer's own load. apply receives each new view of all zones.
	load  func(now time.Time) []report.Service
	apply func(now time.Time, s snapshot.Snapshot)
	// link returns the state of the VM's link.
	link func(now time.Time) report.Link
	// stopping reports whether the balancer is stopping. It then sends no reports.
	stopping func() bool
	counts   *counts
	log      hclog.Logger
}

// loadExchange reports the load of a balancer and its followers to its parent or two voters, and
// holds the load of all zones that these answer.
type loadExchange struct {
	settings  loadSettings
	socket    *socket.Socket
	mu        sync.Mutex
	schedule  *schedule.Schedule
	followers *collector.Collector
	view      snapshot.Snapshot
	// viewed is set from when a zone of the view is fresh until the view is lost.
	viewed bool
	// sequence is that of the last report, and sent holds when the last reports were sent.
	sequence uint64
	sent     snapshot.Requests
	// failing is set while reports cannot be sent.
	failing bool
}

func newLoadExchange(s loadSettings, socket *socket.Socket) *loadExchange {
	return &loadExchange{
		settings: s, socket: socket, schedule: schedule.New(s.clock(), collector.Lifetime), followers: collector.New(),
	}
}

// setUpLoad opens the socket of the load exchange. If that fails, the balancer runs without it.
func (b *Balancer) setUpLoad(self string) {
	if !b.settings.SharedLoad || self == "" {
		return
	}
	l, err := socket.Listen(self, b.settings.Token)
	if err != nil {
		b.log.Error("load is not shared", "Error", err)
		return
	}
	b.load = newLoadExchange(loadSettings{
		clock: b.settings.Clock, self: self, zone: b.settings.Zone, life: uint64(b.settings.Clock().UnixNano()),
		receivers: b.follower.ReportReceivers,
		load: func(now time.Time) []report.Service {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.router.Load(now)
		},
		apply: func(now time.Time, s snapshot.Snapshot) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.router.SetLoad(now, s)
		},
		link: func(time.Time) report.Link {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.linkState()
		},
		stopping: b.leaving.Load, counts: b.counts, log: b.log,
	}, l)
}

// runLoad sends reports until the balancer ends.
func (b *Balancer) runLoad() {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			t.Reset(b.load.report())
		}
	}
}

// report sends a report if one is due, and returns the time until the next call.
func (x *loadExchange) report() time.Duration {
	now := x.settings.clock()
	parent, voters := x.settings.receivers()
	own := report.Report{
		Origin: x.settings.self, Life: x.settings.life, Zone: x.settings.zone, Balancers: 1,
		Link: x.settings.link(now), Services: x.settings.load(now),
	}
	x.mu.Lock()
	x.logView(now)
	x.schedule.SetReceivers(now, parent, voters)
	var to []string
	if !x.settings.stopping() {
		own = x.followers.Sum(now, own)
		to = x.schedule.Due(now, own.Services)
	}
	if len(to) > 0 {
		x.sequence++
		own.Sequence = x.sequence
		x.sent.Sent(now, x.sequence)
	}
	next := x.schedule.Next(now).Sub(now)
	x.mu.Unlock()
	if len(to) > 0 {
		x.send(own, to)
	}
	return next
}

// send sends a report, and logs the first of consecutive failures.
func (x *loadExchange) send(r report.Report, to []string) {
	err := x.socket.Send(r, to)
	if err == nil {
		x.settings.counts.loadReportsSent.Inc(int64(len(to)))
	} else if !x.failing {
		x.settings.log.Warn("failed to send load report", "Receivers", to, "Error", err)
	}
	x.failing = err != nil
}

// logView logs when the view is lost, and when it is back. The caller holds the lock.
func (x *loadExchange) logView(now time.Time) {
	age := x.age(now)
	switch {
	case !x.viewed && age <= snapshot.MaxAge:
		x.viewed = true
		x.settings.log.Info("load of zones known", "Zones", len(x.freshZones(now)), "Version", x.view.Version)
	case x.viewed && age > lostAge:
		x.viewed = false
		x.settings.log.Warn("load of zones unknown: no answers to load reports", "Version", x.view.Version, "Parent", x.schedule.Parent())
	}
}

// freshZones returns the zones of the view that decisions use. The caller holds the lock.
func (x *loadExchange) freshZones(now time.Time) []snapshot.Zone {
	var out []snapshot.Zone
	for name := range x.view.Zones {
		if z, fresh := x.view.Zone(now, name); fresh {
			out = append(out, z)
		}
	}
	return out
}

// OnReport adds a follower's report and answers with the load of all zones.
func (x *loadExchange) OnReport(r report.Report, queued time.Duration) [][]byte {
	now := x.settings.clock()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case r.Origin == x.settings.self || r.Origin == x.schedule.Parent():
		x.OnError(&LoadLoopError{Origin: r.Origin})
		return nil
	case r.Zone != x.settings.zone:
		x.OnError(&ForeignLoadError{Origin: r.Origin, Zone: r.Zone})
		return nil
	case queued >= collector.Lifetime || !x.followers.Add(now.Add(-queued), r):
		x.OnError(&StaleLoadError{Origin: r.Origin})
		return nil
	}
	x.settings.counts.loadReportsReceived.Inc(1)
	p, err := report.Prepare(x.view.Relay(now))
	if err != nil {
		x.OnError(err)
		return nil
	}
	answers, err := p.Encode(r.Sequence, r.Zone)
	if err != nil {
		x.OnError(err)
	}
	return answers
}

// OnAnswer applies the load of all zones that a receiver of a report answered.
func (x *loadExchange) OnAnswer(from netip.AddrPort, a report.Answer) {
	now := x.settings.clock()
	x.mu.Lock()
	sent, awaited := x.sent.Answered(from.String(), a.Sequence)
	if !awaited {
		x.mu.Unlock()
		x.OnError(&StaleAnswerError{From: from.String()})
		return
	}
	x.schedule.RecordAnswer(from.String())
	x.view = x.view.WithAnswer(now, sent, a.Zones)
	view := x.view
	x.mu.Unlock()
	x.settings.apply(now, view)
}

// OnError counts a dropped report or answer, and logs that the socket failed.
func (x *loadExchange) OnError(err error) {
	var read *socket.ReadError
	var send *socket.SendError
	if errors.As(err, &read) || errors.As(err, &send) {
		x.settings.log.Warn("load exchange failed", "Error", err)
		return
	}
	x.settings.counts.loadReportsDropped.Inc(1)
}

// state returns the age of the youngest zone of the view and the number of balancers whose load it
// includes.
func (x *loadExchange) state(now time.Time) (age time.Duration, balancers int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, z := range x.freshZones(now) {
		balancers += z.Balancers
	}
	return x.age(now), balancers
}

// age returns the age of the youngest zone of the view. The caller holds the lock.
func (x *loadExchange) age(now time.Time) time.Duration {
	age := maxLoadAge
	for _, z := range x.view.Zones {
		age = min(age, now.Sub(z.Measured))
	}
	return age
}

const (
	// maxLoadAge is shown as the age of a view that does not exist.
	maxLoadAge = time.Hour
	// lostAge is the age at which the view is logged as lost. In a tree of three levels the age of a
	// load that does not change may exceed snapshot.MaxAge for moments, which is not worth a line.
	lostAge = 2 * snapshot.MaxAge
)
