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
	"wasabideal/internal/log/ratelimit"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/wire/rpc"
)

// ShareMethod is the RPC method by which voters share announcements.
const ShareMethod = "Upstreams.Share"

// ForwardMethod is the RPC method by which balancers and voters forward announcements.
const ForwardMethod = "Upstreams.HandOver"

// shareTimeout limits the wait for other voters. An upstream waits about a second
// for a response before it tries another voter.
const shareTimeout = 600 * time.Millisecond

// rejectedLogsPerSecond limits the log lines about rejected announcements.
const rejectedLogsPerSecond = 10

// UnsharedError reports that no majority of the voters has stored a departure: Holders voters have
// stored it, Needed is the majority.
type UnsharedError struct{ Holders, Needed int }

func (e *UnsharedError) Error() string {
	return fmt.Sprintf("departure is held by %d voters where %d are needed; announce it again or elsewhere", e.Holders, e.Needed)
}

// UnlistedError reports that this voter has no list of voters to determine a
// majority: it has just started or lost its disk.
type UnlistedError struct{}

func (*UnlistedError) Error() string {
	return "this voter holds no list of voters yet and cannot count a majority; announce the departure again or elsewhere"
}

// UnknownServiceError rejects an announcement of a service that is not configured. Otherwise an
// announcement with a mistyped service would take over the address of a serving upstream.
type UnknownServiceError struct{ Service string }

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("no configuration names the service %q; announce the upstream again once one does", e.Service)
}

// Settings configures the handling of announcements at one voter.
type Settings struct {
	Token string
	Clock func() time.Time
	// Self is this voter's RPC address.
	Self string
	// Known returns the RPC addresses of all voters that receive announcements. VotingPeers
	// returns the addresses of the voters that are not learners: a majority of them must store a
	// departure. VotingPeers returns none while this voter has no list of voters. Both lists may
	// include this voter.
	Known, VotingPeers func() []string
	// Shape is the shape of the balancer trees to which upstreams are referred.
	Shape tree.Shape
	// AnnounceInterval is the announcement interval of an upstream.
	AnnounceInterval time.Duration
	// Responsive returns the voters that currently respond, including this one.
	Responsive func() []owner.Voter
}

// sharedAnnouncement is an announcement as sent between voters.
type sharedAnnouncement struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	// Cold is the remaining time of the upstream's slow start.
	Cold time.Duration
}

type empty struct{}

// Receiver handles announcements; it is safe for concurrent use.
type Receiver struct {
	settings Settings
	feed     *feed.Feed
	log      hclog.Logger
	mu       sync.Mutex
	clients  map[string]*rpc.Client
	referral *referral.Referral
	limiter  *ratelimit.Limiter
	// forwardBatchers batch the announcements that are forwarded to other voters, by address.
	forwardBatchers map[string]*handover.Batcher
}

// New returns a Receiver that records announcements in a feed.
func New(s Settings, f *feed.Feed, log hclog.Logger) *Receiver {
	return &Receiver{
		settings: s, feed: f, log: log, clients: map[string]*rpc.Client{}, referral: referral.New(s.Shape), limiter: ratelimit.New(rejectedLogsPerSecond),
		forwardBatchers: map[string]*handover.Batcher{},
	}
}

// Serve registers the methods for other voters and for balancers at a server.
func (u *Receiver) Serve(r *rpc.Server) {
	rpc.Handle(r, ShareMethod, u.settings.Token, func(_ context.Context, s sharedAnnouncement) (empty, error) {
		u.feed.Announce(u.settings.Clock(), s.Upstream, s.Cold)
		return empty{}, nil
	})
	rpc.Handle(r, ForwardMethod, u.settings.Token, func(_ context.Context, all []handover.Announcement) (empty, error) {
		now := u.settings.Clock()
		for _, a := range all {
			u.receiveForwarded(now, a)
		}
		return empty{}, nil
	})
}

// receiveForwarded records an announcement that a balancer or voter forwarded. Departures are
// accepted only from the upstream itself, since a forwarded announcement is acknowledged before a
// majority has stored it.
func (u *Receiver) receiveForwarded(now time.Time, a handover.Announcement) {
	if a.Upstream.State != upstream.Ready || !u.feed.Configured(a.Upstream.Service) {
		u.logRejected(now, a.Upstream)
		return
	}
	u.record(now, a)
}

// logRejected logs an announcement that another process accepted and forwarded, and that this
// voter rejects. The rate is limited, since a faulty announcer may send hundreds.
func (u *Receiver) logRejected(now time.Time, a upstream.Upstream) {
	u.mu.Lock()
	suppressed, ok := u.limiter.Allow(now)
	u.mu.Unlock()
	if ok {
		u.log.Warn("rejected forwarded announcement", "Incarnation", fmt.Sprintf("%x", a.Incarnation),
			"Service", a.Service, "State", a.State.String(), "MoreBefore", suppressed)
	}
}

// Refer returns the address for the further announcements of an upstream, or "" if the
// upstream stays with this voter.
func (u *Receiver) Refer(a upstream.Upstream) string {
	members := u.feed.Fleet(a.Zone)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.referral.Choose(u.settings.Clock(), a, members)
}

// forwardToOwner forwards an announcement to the voter that owns the upstream and reports whether
// that voter accepted it. Upstreams announce themselves to any voter once their balancer has ended.
// In zones whose upstreams announce only to voters, announcements stay at the receiving voter.
func (u *Receiver) forwardToOwner(ctx context.Context, a handover.Announcement) bool {
	addresses := lo.Map(u.feed.Fleet(a.Upstream.Zone), func(m member.Member, _ int) string { return m.Address })
	if !u.settings.Shape.MultiLevel(addresses) {
		return false
	}
	to := owner.Of(a.Upstream, u.settings.Responsive())
	if to == "" || to == u.settings.Self {
		return false
	}
	err := u.forwardBatcher(to).Add(ctx, handover.BatchDelay(u.settings.AnnounceInterval, 1, false), a)
	if err != nil {
		u.log.Debug("failed to forward announcement", "Address", to, "Error", err)
	}
	return err == nil
}

// forwardBatcher returns the batcher of announcements that are forwarded to another voter.
func (u *Receiver) forwardBatcher(to string) *handover.Batcher {
	client := u.client(to)
	u.mu.Lock()
	defer u.mu.Unlock()
	batcher := u.forwardBatchers[to]
	if batcher == nil {
		batcher = handover.New(u.settings.Clock, func(ctx context.Context, all []handover.Announcement) error {
			ctx, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			_, err := rpc.Call[[]handover.Announcement, empty](ctx, client, ForwardMethod, all)
			return err
		})
		u.forwardBatchers[to] = batcher
	}
	return batcher
}

// record stores an announcement in the feed and logs it if it changes the directory.
func (u *Receiver) record(now time.Time, x handover.Announcement) {
	changed, refutesSuspicion := u.feed.AnnounceForwarded(now, x)
	a := x.Upstream
	if refutesSuspicion {
		u.reportAlive(a)
	}
	if changed {
		u.log.Info("upstream announced", "Incarnation", fmt.Sprintf("%x", a.Incarnation), "Service", a.Service,
			"Address", a.Address.String(), "State", a.State.String(), "Sequence", a.Sequence, "Born", a.Born)
	}
}

// Announce handles an upstream's announcement and returns once it may be acknowledged. cold is the
// remaining time of the upstream's slow start. A majority of the voters must first store a
// departure: if only this voter had stored an acknowledged departure and then failed, balancers
// would still send new flows to the upstream. A departure is published to balancers even if it
// cannot be acknowledged.
func (u *Receiver) Announce(ctx context.Context, a upstream.Upstream, cold time.Duration) error {
	if a.State != upstream.Withdrawn && !u.feed.Configured(a.Service) {
		return &UnknownServiceError{Service: a.Service}
	}
	x := handover.Announcement{Upstream: a, Cold: cold}
	if a.State == upstream.Ready && u.forwardToOwner(ctx, x) {
		return nil
	}
	u.record(u.settings.Clock(), x)
	if a.State == upstream.Ready {
		return nil
	}
	return u.share(ctx, sharedAnnouncement{Upstream: a, Cold: cold})
}

// reportAlive reports to the other voters that a suspected upstream is alive, since those voters
// do not receive the upstream's announcements.
func (u *Receiver) reportAlive(a upstream.Upstream) {
	r := evidence.Report{Events: []evidence.Event{feed.LivenessEvent(a)}}
	for _, address := range lo.Without(u.settings.Known(), u.settings.Self) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), shareTimeout)
			defer cancel()
			if _, err := rpc.Call[evidence.Report, empty](ctx, u.client(address), feed.ReportMethod, r); err != nil {
				u.log.Debug("failed to report that upstream is alive", "Address", address, "Error", err)
			}
		}()
	}
}

// share sends an announcement to the other voters and waits until a majority has stored it.
func (u *Receiver) share(ctx context.Context, s sharedAnnouncement) error {
	others, voting := lo.Without(u.settings.Known(), u.settings.Self), u.settings.VotingPeers()
	needed := len(voting)/2 + 1
	// The other voters must receive the announcement even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	// acceptedBy receives the address of each voter that stored the announcement, or "" for a failure.
	acceptedBy := make(chan string, len(others))
	for _, address := range others {
		go func() {
			call, cancel := context.WithTimeout(ctx, shareTimeout)
			defer cancel()
			_, err := rpc.Call[sharedAnnouncement, empty](call, u.client(address), ShareMethod, s)
			if err != nil {
				u.log.Debug("failed to share announcement", "Address", address, "Error", err)
				address = ""
			}
			acceptedBy <- address
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
		if slices.Contains(voting, <-acceptedBy) {
			holders++
		}
	}
	if holders < needed {
		return &UnsharedError{Holders: holders, Needed: needed}
	}
	return nil
}

// client returns the RPC client for an address.
func (u *Receiver) client(address string) *rpc.Client {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.clients[address]
	if c == nil {
		c = rpc.NewClient(address, u.settings.Token)
		u.clients[address] = c
	}
	return c
}
