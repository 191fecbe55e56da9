package control

import (
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/zoneload/collector"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/schedule"
	"wasabideal/internal/zoneload/socket"
	"wasabideal/internal/zoneload/status"
)

const (
	// loadWarmup is the time after the first report in which answers hold no zones. Sums without
	// the balancers that have not reported yet would show less load than there is. Each balancer
	// reports once in this time.
	loadWarmup = schedule.IdleInterval + 50*time.Millisecond
	// sumInterval is the maximum age of the sums in an answer. Their ages include it. Without it, a
	// voter with 72 senders would spend most of its time on sums.
	sumInterval = 10 * time.Millisecond
	// knownInterval is the maximum age of the counted balancers. Counting thousands of them for
	// each answer would take most of the time of an answer.
	knownInterval = time.Second
)

// loadService answers the balancers' load reports with the sums by zone. Without reports it does
// nothing.
type loadService struct {
	clock  func() time.Time
	socket *socket.Socket
	// count returns the number of known balancers of each zone.
	count             func() map[string]int
	answered, dropped func()
	log               hclog.Logger
	mu                sync.Mutex
	reports           *collector.Collector
	// begun and last are when the first and the last report arrived since no report was held.
	begun, last time.Time
	known       map[string]int
	countedAt   time.Time
	sums        report.Prepared
	summedAt    time.Time
}

// openLoad opens the socket for load reports at the address of the RPCs. If that fails, the voter
// runs without it.
func (c *Control) openLoad() {
	if !c.settings.SharedLoad {
		return
	}
	l, err := socket.Listen(c.Address(), c.settings.GroupToken)
	if err != nil {
		c.log.Error("load reports are not answered", "Error", err)
		return
	}
	c.load = &loadService{
		clock: c.settings.Clock, socket: l, count: c.feed.BalancersByZone, reports: collector.New(), log: c.log,
		answered: c.voter.CountLoadReport, dropped: c.voter.CountDroppedLoadReport,
	}
}

func (c *Control) startLoad() {
	if c.load == nil {
		return
	}
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		c.load.socket.Serve(c.load)
	}()
}

func (c *Control) closeLoad() {
	if c.load != nil {
		c.load.socket.Close()
	}
}

type empty struct{}

// loadStatus returns the load that the voter knows.
func (c *Control) loadStatus() status.Status {
	s := status.Status{Address: c.AdvertisedAddress(), Shared: c.load != nil}
	if c.load != nil {
		s.Zones = status.Zones(c.load.zones())
	}
	return s
}

// zones returns the sums by zone.
func (s *loadService) zones() []report.Zone {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	zones := s.reports.Zones(now)
	s.countBalancers(now)
	for i := range zones {
		zones[i].Known = s.known[zones[i].Name]
	}
	return zones
}

// OnReport stores a balancer's report and answers with the sums by zone.
func (s *loadService) OnReport(r report.Report, queued time.Duration) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if queued >= collector.Lifetime || !s.reports.Add(now.Add(-queued), r) {
		s.dropped()
		return nil
	}
	s.answered()
	if now.Sub(s.last) >= collector.Lifetime {
		s.begun = now
	}
	s.last = now
	p, err := s.prepared(now)
	if err != nil {
		s.OnError(err)
		return nil
	}
	answers, err := p.Encode(r.Sequence, r.Zone)
	if err != nil {
		s.OnError(err)
	}
	return answers
}

// prepared returns the sums by zone.
func (s *loadService) prepared(now time.Time) (report.Prepared, error) {
	if now.Sub(s.begun) < loadWarmup {
		return report.Prepared{}, nil
	}
	if now.Sub(s.summedAt) < sumInterval {
		return s.sums, nil
	}
	zones := s.reports.Zones(now)
	s.countBalancers(now)
	for i := range zones {
		zones[i].Known = s.known[zones[i].Name]
		zones[i].Age += sumInterval
	}
	var err error
	s.sums, err = report.Prepare(zones)
	s.summedAt = now
	return s.sums, err
}

func (s *loadService) countBalancers(now time.Time) {
	if s.known == nil || now.Sub(s.countedAt) >= knownInterval {
		s.known, s.countedAt = s.count(), now
	}
}

// OnAnswer drops an answer: voters send no reports.
func (s *loadService) OnAnswer(netip.AddrPort, report.Answer) { s.dropped() }

// OnError counts a dropped datagram, and logs that the socket failed.
func (s *loadService) OnError(err error) {
	var read *socket.ReadError
	var send *socket.SendError
	if errors.As(err, &read) || errors.As(err, &send) {
		s.log.Warn("load exchange failed", "Error", err)
		return
	}
	s.dropped()
}
