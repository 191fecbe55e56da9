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
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/portion"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/sample"
	"wasabideal/internal/silence/word"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/wire/rpc"
)

const (
	// deltasKept is how many changes of the configuration a follower may have missed.
	deltasKept = 64
	// configurationMost is the size in bytes of what followers are given of a
	// configuration. Eight of them take a tenth of a second of a link of 2 Mbit/s for
	// 3 kB each; a change of 1,400 routes would take two seconds at each level, and
	// comes from the voters instead, whose links are wide.
	configurationMost = 3 << 10
	// followersShare is by how much more followers are taken than there are in the mean:
	// hashes spread balancers unevenly, and some of the level above may have failed.
	followersShare = 1.25
)

// fanout is what a balancer does for those that follow it.
type fanout struct {
	listener net.Listener
	server   *rpc.Server
	relay    *relay.Relay
	handover *handover.Handover
	mu       sync.Mutex
	history  history.History
	sample   *sample.Sample
	referral *referral.Referral
}

// OversizeError says that followers have to ask a voter for the configuration.
type OversizeError struct{ Size int }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("%d bytes of configuration are more than a balancer passes on; ask a voter", e.Size)
}

// follow makes the follower, and where others may follow this balancer what serves them. It
// returns the address at which they do.
func (b *Balancer) follow() (string, error) {
	s := b.settings
	f := follower.Settings{Token: s.Token, From: s.Fabric, Clock: s.Clock, Shape: s.Shape, StaleAfter: s.StaleAfter}
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
		listener: l, history: history.New(deltasKept), sample: sample.New(), referral: referral.New(s.Shape),
		relay:    relay.New(b, s.Clock, int(followersShare*float64(s.Shape.Fanout))),
		handover: handover.New(s.Clock, b.follower.HandOver),
		server:   rpc.NewServer(func(method string) { b.log.Warn("call without the token", "Method", method) }),
	}
	x.relay.Serve(x.server, s.Token)
	rpc.Handle(x.server, feed.ConfigurationMethod, s.Token, func(_ context.Context, revision uint64) (cbor.RawMessage, error) {
		return x.configuration(revision)
	})
	rpc.Handle(x.server, feed.ReportsMethod, s.Token, b.passReports)
	rpc.Handle(x.server, feed.AttendMethod, s.Token, func(_ context.Context, all []members.Attendance) (empty, error) {
		b.follower.Attend(s.Clock(), all)
		return empty{}, nil
	})
	rpc.Handle(x.server, upstreams.HandOverMethod, s.Token, func(ctx context.Context, all []handover.Announcement) (empty, error) {
		return empty{}, x.handover.Add(ctx, b.gather(false), all...)
	})
	b.fanout = x
	return f.Self.Address, nil
}

type empty struct{}

func (b *Balancer) serveFollowers() {
	if err := b.fanout.server.Serve(b.ctx, b.fanout.listener); err != nil && b.ctx.Err() == nil {
		b.log.Error("calls of other balancers ended", "Error", err)
	}
}

// published keeps the configuration for followers; the lock is held.
func (b *Balancer) published(c configuration.Configuration) {
	if b.fanout == nil {
		return
	}
	b.fanout.mu.Lock()
	b.fanout.history = b.fanout.history.With(c)
	b.fanout.mu.Unlock()
	b.fanout.relay.Wake()
}

// configuration returns what leads from a held revision to the one in force.
func (x *fanout) configuration(revision uint64) (cbor.RawMessage, error) {
	x.mu.Lock()
	a := x.history.Since(revision)
	x.mu.Unlock()
	body, err := cbor.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(body) > configurationMost {
		return nil, &OversizeError{Size: len(body)}
	}
	return body, nil
}

// passedOn wakes followers for what a voter said.
func (b *Balancer) passedOn(x origins.Origin) {
	if b.fanout == nil {
		return
	}
	if len(x.Notices) > 0 {
		b.fanout.relay.NewNotices()
	}
	if len(x.Subjects) > 0 {
		b.fanout.relay.NewDoubts()
	}
}

// News answers a balancer that follows this one.
func (b *Balancer) News(now time.Time, q relay.Question) (relay.Answer, bool) {
	a, news := b.follower.News(now, q)
	known := make(map[string]origins.Known, len(q.Known))
	for _, k := range q.Known {
		known[k.Voter] = k
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Revision = max(b.held.Revision, b.follower.Missing(now, b.held.Revision))
	if b.evacuations.Revision > q.Evacuations {
		e := b.evacuations
		a.Evacuations, news = &e, true
	}
	portion.New(b.settings.Zone).Fill(a.Origins, func(x origins.Origin) []directory.Notice {
		version := uint64(0)
		if k := known[x.Voter]; k.Life == x.Life {
			version = k.Version
		}
		if x.Version <= version {
			return nil
		}
		return b.view.Since(now, x.Voter, x.Life, version)
	})
	return a, news || a.Revision > q.Revision
}

// Leaving says that the balancer stops.
func (b *Balancer) Leaving() bool { return b.leaving.Load() }

// passReports passes on what followers saw of silent upstreams.
func (b *Balancer) passReports(_ context.Context, reports []word.Report) (empty, error) {
	now := b.settings.Clock()
	x := b.fanout
	for _, r := range reports {
		x.mu.Lock()
		r.Events = x.sample.Take(now, r.From, r.Events)
		x.mu.Unlock()
		if len(r.Events) > 0 {
			b.follower.Pass(r)
		}
	}
	return empty{}, nil
}

// Standing is whom the balancer follows and how much it knows.
func (b *Balancer) Standing() follower.Standing { return b.follower.Standing(b.settings.Clock()) }

// Upstreams returns the number of upstreams known.
func (b *Balancer) Upstreams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Upstreams()
}
