package cookie

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/referral"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/chunk"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/sample"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/status"
)

const (
	// maxDeltas is the number of missed configuration changes up to which a follower gets
	// deltas.
	maxDeltas = 64
	// minConfigurationBytes and configurationLinkTime limit the configuration response to a
	// follower: eight followers use the link for configurationLinkTime. On a link of 2 Mbit/s that
	// is 3 kB. A change of 1,400 routes would take two seconds there at each level; followers
	// fetch such a change from the voters, which have more bandwidth.
	minConfigurationBytes = 3 << 10
	configurationLinkTime = 100 * time.Millisecond
	// followerHeadroom is the ratio of accepted followers to the average number: hashing
	// spreads balancers unevenly, and some balancers of the same level may have failed.
	followerHeadroom = 1.25
)

// fanout serves the balancers that follow this one.
type fanout struct {
	listener net.Listener
	server   *rpc.Server
	relay    *relay.Relay
	// announcements batches the announcements that are forwarded to the parent or the voters.
	announcements *handover.Batcher
	// maxConfiguration is the maximum size in bytes of a configuration response to a follower.
	maxConfiguration int
	mu               sync.Mutex
	history          history.History
	sample           *sample.Sampler
	referral         *referral.Referral
}

// maxConfigurationBytes returns the limit for a configuration response on a link, minConfigurationBytes
// if its bandwidth is unknown.
func maxConfigurationBytes(linkBytesPerSecond float64, followers int) int {
	return max(minConfigurationBytes, int(linkBytesPerSecond*configurationLinkTime.Seconds()/float64(followers)))
}

// OversizeError reports that the configuration response exceeds the limit of this balancer's link;
// followers then fetch it from a voter.
type OversizeError struct{ Size int }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("configuration response of %d bytes exceeds the limit of a balancer; fetch it from a voter", e.Size)
}

// setUpFollower creates the follower and, if other balancers may follow this one, the server
// for them. It returns the server's address.
func (b *Balancer) setUpFollower() (string, error) {
	s := b.settings
	f := follower.Settings{Token: s.Token, From: s.Fabric, Clock: s.Clock, Shape: s.Shape, StaleAfter: s.StaleAfter, Traffic: b.link.controlTraffic(), Uneven: s.uneven()}
	if s.Rpc == "" {
		b.follower = follower.New(f, b, b.log)
		return "", nil
	}
	l, err := net.Listen("tcp", s.Rpc)
	if err != nil {
		b.socket.Close()
		return "", fmt.Errorf("listen on Rpc: %w", err)
	}
	f.Self = member.Member{Zone: s.Zone, Address: l.Addr().String(), Announcements: s.Announcements}
	b.follower = follower.New(f, b, b.log)
	x := &fanout{
		listener: b.link.controlTraffic().Listener(l), history: history.New(maxDeltas), sample: sample.New(), referral: referral.New(s.Shape),
		maxConfiguration: maxConfigurationBytes(s.LinkBytesPerSecond, max(s.Shape.Fanout, 1)),
		relay:            relay.New(b, s.Clock, int(followerHeadroom*float64(s.Shape.Fanout))),
		announcements:    handover.New(s.Clock, b.follower.ForwardAnnouncements),
		server:           rpc.NewServer(func(method string) { b.log.Warn("rejected call without valid token", "Method", method) }),
	}
	x.relay.Serve(x.server, s.Token)
	rpc.Handle(x.server, feed.ConfigurationMethod, s.Token, func(_ context.Context, revision uint64) (cbor.RawMessage, error) {
		return x.configuration(revision)
	})
	rpc.Handle(x.server, feed.ReportsMethod, s.Token, b.forwardReports)
	rpc.Handle(x.server, feed.MergeClaimsMethod, s.Token, func(_ context.Context, all []claims.Claim) (empty, error) {
		b.OnClaims("", all)
		return empty{}, nil
	})
	rpc.Handle(x.server, feed.RecordFollowersMethod, s.Token, func(_ context.Context, all []members.Heartbeat) (empty, error) {
		b.follower.RecordFollowers(s.Clock(), all)
		return empty{}, nil
	})
	rpc.Handle(x.server, upstreams.ForwardMethod, s.Token, func(ctx context.Context, all []handover.Announcement) (empty, error) {
		return empty{}, x.announcements.Add(ctx, b.batchDelay(false), all...)
	})
	rpc.Handle(x.server, status.Method, s.Token, func(context.Context, empty) (status.Status, error) {
		return b.loadStatus(f.Self.Address), nil
	})
	b.fanout = x
	return f.Self.Address, nil
}

type empty struct{}

func (b *Balancer) serveFollowers() {
	if err := b.fanout.server.Serve(b.ctx, b.fanout.listener); err != nil && b.ctx.Err() == nil {
		b.log.Error("RPC server for balancers stopped", "Error", err)
	}
}

// publishConfiguration adds the configuration to the history and completes the followers' long
// polls. The caller holds the lock.
func (b *Balancer) publishConfiguration(c configuration.Configuration) {
	if b.fanout == nil {
		return
	}
	b.fanout.mu.Lock()
	b.fanout.history = b.fanout.history.With(c)
	b.fanout.mu.Unlock()
	b.fanout.relay.NotifyNow()
}

// configuration returns the encoded changes from a follower's revision to the one in force.
func (x *fanout) configuration(revision uint64) (cbor.RawMessage, error) {
	x.mu.Lock()
	a := x.history.Since(revision)
	x.mu.Unlock()
	body, err := cbor.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(body) > x.maxConfiguration {
		return nil, &OversizeError{Size: len(body)}
	}
	return body, nil
}

// wakeFollowers schedules responses to the followers' long polls if a voter's update holds
// notices or suspicions.
func (b *Balancer) wakeFollowers(x origins.Update) {
	if b.fanout == nil {
		return
	}
	if len(x.Notices) > 0 {
		b.fanout.relay.NotifyNotices()
	}
	if len(x.Subjects) > 0 {
		b.fanout.relay.NotifySuspicions()
	}
}

// Updates returns the response to a follower's long poll, and whether it holds anything new.
func (b *Balancer) Updates(now time.Time, req relay.Request) (relay.Response, bool) {
	resp, changed := b.follower.Updates(now, req)
	known := make(map[string]origins.VoterVersion, len(req.Known))
	for _, k := range req.Known {
		known[k.Voter] = k
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	resp.Revision = max(b.configuration.Revision, b.follower.UnavailableRevision(now, b.configuration.Revision))
	if b.evacuations.Revision > req.Evacuations {
		e := b.evacuations
		resp.Evacuations, changed = &e, true
	}
	if req.Claims != nil {
		if resp.ClaimsDigest = b.router.Claims().Digest(); resp.ClaimsDigest != *req.Claims {
			resp.Claims, changed = b.router.Claims().All(), true
		}
	}
	if req.Starting {
		if all := b.router.Recent(now); !all.Empty() {
			resp.Recent = &all
		}
	}
	chunk.New(b.settings.Zone).Fill(resp.Origins, func(x origins.Update) []directory.Notice {
		version := uint64(0)
		if k := known[x.Voter]; k.Life == x.Life {
			version = k.Version
		}
		if x.Version <= version {
			return nil
		}
		return b.view.Since(now, x.Voter, x.Life, version)
	})
	return resp, changed || resp.Revision > req.Revision
}

// ShuttingDown reports whether the balancer is stopping.
func (b *Balancer) ShuttingDown() bool { return b.leaving.Load() }

// forwardReports forwards a sample of the followers' reports on unanswered packets.
func (b *Balancer) forwardReports(_ context.Context, reports []evidence.Report) (empty, error) {
	now := b.settings.Clock()
	x := b.fanout
	for _, r := range reports {
		x.mu.Lock()
		r.Events = x.sample.Filter(now, r.From, r.Events)
		if !x.sample.AllowAnswers(now, r.Answers) {
			r.Answers = nil
		}
		x.mu.Unlock()
		if len(r.Events)+len(r.Answers) > 0 {
			b.follower.Forward(r)
		}
	}
	return empty{}, nil
}

// FollowerStatus returns the balancer's position in the tree and the age of the voter state that it
// holds.
func (b *Balancer) FollowerStatus() follower.Status { return b.follower.Status(b.settings.Clock()) }

// Upstreams returns the number of known upstreams.
func (b *Balancer) Upstreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Upstreams()
}
