package upstreams

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/referral"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/log/pace"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/home"
	"wasabideal/internal/wire/rpc"
)

// Method is the name of the call by which voters share announcements.
const Method = "Upstreams.Share"

// HandOverMethod is the call by which balancers hand on the announcements that they take.
const HandOverMethod = "Upstreams.HandOver"

// shareTimeout bounds the wait for other voters. Upstreams give an announcement
// about a second and then turn to another voter.
const shareTimeout = 600 * time.Millisecond

// notTakenLines bounds the log lines a second on announcements that are not taken.
const notTakenLines = 10

// UnsharedError says that too few voters took a departure.
type UnsharedError struct{ Holders, Needed int }

func (e *UnsharedError) Error() string {
	return fmt.Sprintf("departure is held by %d voters where %d are needed; announce it again or elsewhere", e.Holders, e.Needed)
}

// UnlistedError says that this voter holds no list of voters, so that it cannot
// tell what a majority is: it has just started, or lost its disk.
type UnlistedError struct{}

func (*UnlistedError) Error() string {
	return "this voter holds no list of voters yet and cannot count a majority; announce the departure again or elsewhere"
}

// UnknownServiceError says that the configuration names no such service. One that was
// written by mistake would take the address of an upstream that serves another one.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no configuration names the service %q; announce the upstream again once one does", e.Service)
}

// Settings of the announcements at one voter.
type Settings struct {
	Token string
	Clock func() time.Time
	// Self is this voter's call address.
	Self string
	// Known returns the call addresses of all voters that are told, and Voting
	// those whose majority must hold a departure; both may name this one. Voting
	// is empty while no list of voters is held.
	Known, Voting func() []string
	// Shape is that of the trees of balancers, to which upstreams are referred.
	Shape tree.Shape
	// AnnounceEvery is the time between two announcements of an upstream.
	AnnounceEvery time.Duration
	// Answering returns the voters that answer, this one among them.
	Answering func() []home.Voter
}

// shared is an announcement on its way between voters.
type shared struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	Cold     time.Duration
}

type empty struct{}

// Upstreams takes announcements; it is safe for concurrent use.
type Upstreams struct {
	settings Settings
	feed     *feed.Feed
	log      hclog.Logger
	mu       sync.Mutex
	clients  map[string]*rpc.Client
	referral *referral.Referral
	pace     *pace.Pace
	// toVoters are what other voters are handed.
	toVoters map[string]*handover.Handover
}

// New returns the announcements' taker for a feed.
func New(s Settings, f *feed.Feed, log hclog.Logger) *Upstreams {
	return &Upstreams{
		settings: s, feed: f, log: log, clients: map[string]*rpc.Client{}, referral: referral.New(s.Shape), pace: pace.New(notTakenLines),
		toVoters: map[string]*handover.Handover{},
	}
}

// Serve adds the method for other voters to a server.
func (u *Upstreams) Serve(r *rpc.Server) {
	rpc.Handle(r, Method, u.settings.Token, func(_ context.Context, s shared) (empty, error) {
		u.feed.Announce(u.settings.Clock(), s.Upstream, s.Cold)
		return empty{}, nil
	})
	rpc.Handle(r, HandOverMethod, u.settings.Token, func(_ context.Context, all []handover.Announcement) (empty, error) {
		now := u.settings.Clock()
		for _, a := range all {
			u.handedOver(now, a)
		}
		return empty{}, nil
	})
}

// handedOver takes an announcement that a balancer took. Departures come from the
// upstream itself, since they are acknowledged only once a majority holds them.
func (u *Upstreams) handedOver(now time.Time, a handover.Announcement) {
	if a.Upstream.State != upstream.Ready || !u.feed.Configured(a.Upstream.Service) {
		u.noteNotTaken(now, a.Upstream)
		return
	}
	u.note(now, a)
}

// noteNotTaken logs an announcement that a balancer took and this voter did not, at a
// bounded rate: a writer that gets them wrong may send hundreds.
func (u *Upstreams) noteNotTaken(now time.Time, a upstream.Upstream) {
	u.mu.Lock()
	passed, ok := u.pace.Take(now)
	u.mu.Unlock()
	if ok {
		u.log.Warn("announcement of a balancer not taken", "Incarnation", fmt.Sprintf("%x", a.Incarnation),
			"Service", a.Service, "State", a.State.String(), "MoreBefore", passed)
	}
}

// Refer returns the address to which an upstream is to announce itself from now on, and
// none where that is here.
func (u *Upstreams) Refer(a upstream.Upstream) string {
	zone := u.feed.Fleet(a.Zone)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.referral.Choose(u.settings.Clock(), a, zone)
}

// heardElsewhere hands an announcement to the voter that hears the upstream, and says
// whether it took it. It came here since a balancer that took it before has ended; where
// upstreams announce themselves to voters only, each keeps what it hears.
func (u *Upstreams) heardElsewhere(ctx context.Context, a handover.Announcement) bool {
	zone := lo.Map(u.feed.Fleet(a.Upstream.Zone), func(m member.Member, _ int) string { return m.Address })
	if !u.settings.Shape.Grows(zone) {
		return false
	}
	to := home.Of(a.Upstream, u.settings.Answering())
	if to == "" || to == u.settings.Self {
		return false
	}
	err := u.handovers(to).Add(ctx, handover.Gather(u.settings.AnnounceEvery, 1, false), a)
	if err != nil {
		u.log.Debug("announcement not handed over", "Address", to, "Error", err)
	}
	return err == nil
}

// handovers returns the handover to another voter.
func (u *Upstreams) handovers(to string) *handover.Handover {
	client := u.client(to)
	u.mu.Lock()
	defer u.mu.Unlock()
	h := u.toVoters[to]
	if h == nil {
		h = handover.New(u.settings.Clock, func(ctx context.Context, all []handover.Announcement) error {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			_, err := rpc.Call[[]handover.Announcement, empty](ctx, client, HandOverMethod, all)
			return err
		})
		u.toVoters[to] = h
	}
	return h
}

// note takes an announcement of just now or some time ago.
func (u *Upstreams) note(now time.Time, x handover.Announcement) {
	news, answers := u.feed.HandedOver(now, x)
	a := x.Upstream
	if answers {
		u.tellOfLife(a)
	}
	if news {
		u.log.Info("upstream announced", "Incarnation", fmt.Sprintf("%x", a.Incarnation), "Service", a.Service,
			"Address", a.Address.String(), "State", a.State.String(), "Sequence", a.Sequence, "Born", a.Born)
	}
}

// Announce takes an upstream's announcement and returns when it may be
// acknowledged. A departure must be held by a majority of voters first: if only
// this one knew and failed right after, balancers would go on sending new flows
// to an upstream that was told that none would come.
func (u *Upstreams) Announce(ctx context.Context, a upstream.Upstream, cold time.Duration) error {
	if a.State != upstream.Withdrawn && !u.feed.Configured(a.Service) {
		return &UnknownServiceError{Service: a.Service}
	}
	x := handover.Announcement{Upstream: a, Cold: cold}
	if a.State == upstream.Ready && u.heardElsewhere(ctx, x) {
		return nil
	}
	u.note(u.settings.Clock(), x)
	if a.State == upstream.Ready {
		return nil
	}
	return u.share(ctx, shared{Upstream: a, Cold: cold})
}

// tellOfLife tells the other voters that an upstream lives whose packets were left
// unanswered; they do not hear its announcements.
func (u *Upstreams) tellOfLife(a upstream.Upstream) {
	r := word.Report{Events: []word.Event{feed.Heard(a)}}
	for _, address := range lo.Without(u.settings.Known(), u.settings.Self) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
			defer cancel()
			if _, err := rpc.Call[word.Report, empty](ctx, u.client(address), feed.ReportMethod, r); err != nil {
				u.log.Debug("sign of life not told", "Address", address, "Error", err)
			}
		}()
	}
}

// share tells the other voters and waits until a majority holds the news.
func (u *Upstreams) share(ctx context.Context, s shared) error {
	others, voting := lo.Without(u.settings.Known(), u.settings.Self), u.settings.Voting()
	needed := len(voting)/2 + 1
	// A caller that gives up must not keep the others from hearing the news.
	ctx = context.WithoutCancel(ctx)
	taken := make(chan string, len(others))
	for _, address := range others {
		go func() {
			call, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			_, err := rpc.Call[shared, empty](call, u.client(address), Method, s)
			if err != nil {
				u.log.Debug("announcement not shared", "Address", address, "Error", err)
				address = ""
			}
			taken <- address
		}()
	}
	if len(voting) == 0 {
		return &UnlistedError{}
	}
	holders := lo.Count(voting, u.settings.Self)
	for range others {
		if holders >= needed {
			break
		}
		if slices.Contains(voting, <-taken) {
			holders++
		}
	}
	if holders < needed {
		return &UnsharedError{Holders: holders, Needed: needed}
	}
	return nil
}

func (u *Upstreams) client(address string) *rpc.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.clients[address]
	if c == nil {
		c = rpc.NewClient(address, u.settings.Token)
		u.clients[address] = c
	}
	return c
}
