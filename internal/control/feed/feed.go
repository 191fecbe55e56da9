package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/pacing"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/wire/rpc"
)

// The calls that balancers make.
const (
	// SinceMethod asks for news and waits for them.
	SinceMethod = "Feed.Since"
	// ConfigurationMethod asks for what leads from a held revision to the newest.
	ConfigurationMethod = "Feed.Configuration"
)

// gather is the least time between two answers with news of upstreams. When
// thousands of upstreams are replaced in turn, an answer for each to each balancer
// is most of a voter's work; a tenth of a second later costs callers nothing.
const gather = 100 * time.Millisecond

// newsMost is how many answers with news of upstreams a voter gives in a second: with
// 200, those to the 20 balancers that ask it in a fleet of 300 were a quarter of its work
// while upstreams changed. Where more ask, news are gathered for longer.
const newsMost = 100

// configurationMost is the size in bytes up to which a configuration goes along with
// news, that of about 600 routes: worked out, it takes 50 ms on a link of 2 Mbit/s,
// compressed to half, and a call of its own as long. A balancer that starts asks one voter at
// a time.
const configurationMost = 24 << 10

// deltasMost is how many changes a balancer may miss and still get deltas; the
// whole is shorter than more of them.
const deltasMost = 64

// Question is what a balancer asks.
type Question struct {
	// Revision is the newest configuration that the balancer knows of.
	Revision uint64
	// Life and Version are those of the voter's directory that the balancer
	// heard last.
	Life, Version uint64
	// Recalled asks for upstreams, too, that this voter has not heard itself since
	// it restarted. A balancer that has just started needs them from one voter; from
	// each they would fill the links of a fleet of hundreds.
	Recalled bool
	// Hold is how long the answer may wait for news.
	Hold time.Duration
	// Encoded says that Encoded may stand in place of Notices.
	Encoded bool
	// Unconfigured asks for the configuration along with the news: a balancer that has
	// just started can place nothing without, and another call takes 40 ms where many
	// start at once.
	Unconfigured bool
	// From names the balancer that asks, empty for voters.
	From string
	// Doubts is the version of the doubts that the balancer heard last.
	Doubts uint64
	// Self is the balancer that asks, where others may follow it.
	Self *member.Member `cbor:",omitempty"`
	// Fleet is the version of the list of balancers that it heard last from this life.
	Fleet uint64
	// Passing is how many balancers pass on what it hears, to those of its zone that are
	// told last.
	Passing int
	// Evacuations is the revision of the orders for availability zones that it holds.
	Evacuations uint64
}

// Answer brings a balancer up to date.
type Answer struct {
	// Revision is that of the newest configuration.
	Revision uint64
	// Life changes when the voter restarts.
	Life    uint64
	Version uint64
	Notices []directory.Notice
	// Encoded are all notices, encoded for many balancers at once.
	Encoded cbor.RawMessage `cbor:",omitempty"`
	// Elsewhere are those that other voters hear, encoded, for a balancer that knows none.
	Elsewhere cbor.RawMessage `cbor:",omitempty"`
	// Configuration is an encoded history.Answer for a balancer that has none.
	Configuration cbor.RawMessage `cbor:",omitempty"`
	// Members are the call addresses of all voters that this one knows.
	Members []string
	// Doubts are the upstreams that leave packets unanswered, all of them where the one that
	// asks has heard another DoubtsVersion, which rises with changes.
	Doubts        []word.Doubt
	DoubtsVersion uint64
	// Zone is the voter's availability zone.
	Zone string
	// Fleet are the balancers of the zone of the one that asks, nil where it has
	// the list, and FleetVersion rises with changes.
	Fleet        []member.Member `cbor:",omitempty"`
	FleetVersion uint64
	// Balancers is how many balancers of all zones the voter knows.
	Balancers int `cbor:",omitempty"`
	// Evacuations are the orders for availability zones, where they are newer than held.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
}

// Feed is what one voter tells balancers; it is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	life    uint64
	clock   func() time.Time
	history history.History
	// evacuations are the orders in force for availability zones.
	evacuations evacuation.Evacuations
	services    map[string]bool
	directory   *directory.Directory
	members     []string
	changed     chan struct{}
	// told is when balancers were last woken for upstreams, pending that they
	// still have to be.
	told    time.Time
	pending bool
	// silence is the evidence of upstreams that leave packets unanswered; weighing is
	// set while a timer will look at it again.
	silence  *accrual.Accrual
	weighing bool
	// confirmation is what probes say of the hosts of those upstreams.
	confirmation *confirmation.Confirmation
	prober       Prober
	// doubts spaces out what is told of it.
	doubts pacing.Pacing
	// asked are the balancers that asked for news lately.
	asked map[string]asked
	// elsewhere are the upstreams that other voters hear.
	elsewhere elsewhere
	// zone is the voter's own; fleet are the balancers that ask, or follow those.
	zone  string
	fleet *members.Members
	// notices and configuration are answers that many balancers get at a start.
	notices       encoded[wholeKey]
	configuration encoded[configurationKey]
}

// asked is a balancer's last question.
type asked struct {
	at      time.Time
	passing int
}

// wholeKey is what the notices of all upstreams depend on.
type wholeKey struct {
	version  uint64
	recalled bool
}

// configurationKey is what the way from one revision to the newest depends on.
type configurationKey struct{ held, current uint64 }

// New returns an empty feed; life must differ from that of earlier processes.
func New(life uint64, d *directory.Directory, clock func() time.Time) *Feed {
	return &Feed{
		life: life, clock: clock, directory: d, changed: make(chan struct{}), silence: accrual.New(), asked: map[string]asked{},
		fleet: members.New(), confirmation: confirmation.New(),
	}
}

// Serve adds the feed's method to a server.
func (f *Feed) Serve(r *rpc.Server, token string) {
	rpc.Handle(r, SinceMethod, token, func(ctx context.Context, q Question) (Answer, error) { return f.Since(ctx, q), nil })
	rpc.Handle(r, ConfigurationMethod, token, func(_ context.Context, revision uint64) (cbor.RawMessage, error) {
		return f.encodedConfiguration(revision)
	})
	f.serveReports(r, token)
	f.serveFleet(r, token)
}

// Publish tells of a configuration; one that is not newer is ignored.
func (f *Feed) Publish(h history.History) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Current().Revision > f.history.Current().Revision {
		f.history = h
		f.services = lo.SliceToMap(h.Current().Services, func(s configuration.Service) (string, bool) { return s.Name, true })
		f.wake()
	}
}

// PublishEvacuations tells of orders for availability zones; older ones are ignored.
func (f *Feed) PublishEvacuations(e evacuation.Evacuations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Revision > f.evacuations.Revision {
		f.evacuations = e
		f.wake()
	}
}

// Configured says that the configuration names a service, or that none is known yet.
func (f *Feed) Configured(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services == nil || f.services[service]
}

// SetMembers tells of the voters.
func (f *Feed) SetMembers(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = addresses
}

// Announce notes an upstream's announcement, and reports whether it is news to
// others, and whether it answers a doubt.
func (f *Feed) Announce(now time.Time, u upstream.Upstream, cold time.Duration) (news, answers bool) {
	return f.HandedOver(now, handover.Announcement{Upstream: u, Cold: cold})
}

// HandedOver notes one that a balancer took some time ago.
func (f *Feed) HandedOver(now time.Time, a handover.Announcement) (news, answers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news, newer := f.directory.Announce(now.Add(-a.Age), a.Upstream, a.Cold)
	if news {
		f.pending = true
		f.tell(now)
	}
	return news, newer && a.Upstream.State != upstream.Withdrawn && f.heard(now, a)
}

// Recall takes an upstream that another voter heard before this one restarted.
func (f *Feed) Recall(now time.Time, u upstream.Upstream, cold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Recall(now, u, cold)
}

// tell wakes balancers for news of upstreams, unless it did so just before; Tick
// makes up for it.
func (f *Feed) tell(now time.Time) {
	if f.pending && now.Sub(f.told) >= max(gather, time.Duration(len(f.asked))*time.Second/newsMost) {
		f.told, f.pending = now, false
		f.wake()
	}
}

// Tick lets announcements grow old and tells what was gathered; call it at least
// every tenth of a second.
func (f *Feed) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Tick(now)
	f.pending = f.directory.Tick(now) || f.pending
	f.tell(now)
	f.weigh(now)
}

// Version rises with the news of upstreams.
func (f *Feed) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Version()
}

// Notices returns all upstreams known.
func (f *Feed) Notices(now time.Time) ([]directory.Notice, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Since(now, 0), f.directory.Version()
}

func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}
