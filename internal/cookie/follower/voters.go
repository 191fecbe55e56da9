package follower

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/feed"
	"wasabideal/internal/fanout/membership"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/verdicts"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/wire/rpc"
)

// Polls of connected voters are held back during startup. bootstrapPollInterval is the interval at
// which such a poll checks whether it may be sent.
const bootstrapPollInterval = 5 * time.Millisecond

// BusyError reports that a voter already serves as many starting balancers as it can.
type BusyError struct{}

func (*BusyError) Error() string {
	return "the voter serves other starting balancers; poll it again or another one"
}

// firstHold is how long a voter may let a starting balancer wait while it knows no voters besides those of
// its settings. A busy voter then lists the others.
const firstHold = 200 * time.Millisecond

// pollVoter polls one voter until the context ends or the voter expires.
func (f *Follower) pollVoter(ctx context.Context, address string, src *source) {
	client := rpc.NewClient(address, f.settings.Token).CountTraffic(f.settings.Traffic)
	client.SetDialTimeout(isolatedDialTimeout)
	defer client.Close()
	var retries backoff
	lastAnswered, failing := f.settings.Clock(), false
	for ctx.Err() == nil {
		err := client.Connect(ctx)
		if err == nil && f.waitForBootstrap(ctx, address) {
			err = f.pollVoterOnce(ctx, client, address)
		}
		f.recordResponse(address, src, err == nil && ctx.Err() == nil)
		if ctx.Err() == nil {
			f.fetcher.recordPoll(address, err)
		}
		if err == nil {
			if failing {
				f.log.Info("voter answers again", "Address", address)
			}
			retries, lastAnswered, failing = backoff{}, f.settings.Clock(), false
			continue
		}
		if !failing && ctx.Err() == nil {
			f.log.Warn("voter does not answer", "Address", address, "Error", err)
		}
		failing = true
		if f.dropIfExpired(address, src, f.settings.Clock().Sub(lastAnswered)) {
			return
		}
		pause, dial := retries.next(f.isolation())
		client.SetDialTimeout(dial)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// waitForBootstrap blocks until a voter may be polled, and reports false if the context ended
// first.
func (f *Follower) waitForBootstrap(ctx context.Context, address string) bool {
	for ctx.Err() == nil {
		if f.mayPoll(address) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapPollInterval):
		}
	}
	return false
}

func (f *Follower) mayPoll(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selection == nil || f.bootstrap.Allow(f.settings.Clock(), address)
}

// recordResponse records whether a voter answered its last poll.
func (f *Follower) recordResponse(address string, src *source, responded bool) {
	complete := f.handler.HasUpstreams() && f.handler.Configuration().Revision > 0
	f.mu.Lock()
	defer f.mu.Unlock()
	src.responsive = responded
	switch {
	case !responded:
		f.bootstrap.RecordFailure(address)
	case f.bootstrap.RecordResponse(address, complete):
		// The startup phase ends here, and other voters may no longer be needed.
		f.reconcile(f.settings.Clock())
	}
}

// dropIfExpired stops polling a voter that has failed for voterExpiry and that no source has listed
// for as long. It reports whether it stopped.
func (f *Follower) dropIfExpired(address string, src *source, failingFor time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.settings.Clock()
	if failingFor < voterExpiry || now.Sub(f.voterSeen[address]) < voterExpiry || f.polled[address] != src {
		return false
	}
	delete(f.polled, address)
	f.membership.RemoveSource(now, address)
	f.expireVoter(now, address)
	return true
}

// isolation reports whether no source answers, and how many voters are polled.
func (f *Follower) isolation() (isolated bool, voters int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reportTargets()) == 0, lo.CountBy(lo.Values(f.polled), func(src *source) bool { return src.isVoter })
}

// voterRequest returns the next poll for a voter.
func (f *Follower) voterRequest(address string, current configuration.Configuration) feed.Request {
	hasUpstreams, evacuations := f.handler.HasUpstreams(), f.handler.Evacuations().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.origins.State(f.settings.Clock(), address)
	q := feed.Request{
		Hold: voterHold, Recalled: !hasUpstreams, From: f.settings.From, Encoded: true,
		Unconfigured: current.Revision == 0 && len(f.reportTargets()) == 0,
		Life:         known.Life, Version: known.Version, Doubts: known.Doubts, Revision: f.fetcher.revision(address),
		Evacuations: evacuations, Claims: f.claimsOf(address), Starting: f.starting(), AcceptsBusy: f.selection != nil, AcceptsPacked: true,
	}
	if known.Life == 0 && len(f.voterSeen) <= len(f.seeds) {
		q.Hold = firstHold
	}
	if f.settings.Uneven {
		held := f.verdicts.Held(address)
		q.Uneven = &held
	}
	if f.selection != nil {
		self := f.settings.Self
		q.Self = &self
		q.Passing = f.settings.Shape.Levels(len(f.membership.Members())) - 1
		if list := f.membership.List(address); list.Life == known.Life {
			q.Fleet = list.Version
		}
	}
	return q
}

func (f *Follower) pollVoterOnce(ctx context.Context, client *rpc.Client, address string) error {
	current := f.handler.Configuration()
	q := f.voterRequest(address, current)
	call, cancel := context.WithTimeout(ctx, voterHold+voterGrace)
	defer cancel()
	a, err := rpc.Call[feed.Request, feed.Response](call, client, feed.SinceMethod, q)
	if err != nil {
		return err
	}
	if a.Busy {
		f.addVoters(a.Members)
		return &BusyError{}
	}
	if a, err = a.Decoded(); err != nil {
		return err
	}
	if a.Evacuations != nil {
		f.handler.OnEvacuations(address, *a.Evacuations)
	}
	f.applyClaims(address, a.Claims, a.ClaimsDigest)
	if len(a.Configuration) > 0 {
		f.applyInlineConfiguration(address, current, a.Configuration)
	}
	f.applyVoterState(f.settings.Clock(), lo.FromPtr(a.Recent), origins.Update{
		VoterVersion: origins.VoterVersion{Voter: address, Life: a.Life, Version: a.Version, Doubts: a.DoubtsVersion},
		Notices:      a.Notices, Subjects: a.Doubts, Doubted: a.Life != q.Life || a.DoubtsVersion != q.Doubts, Zone: a.Zone,
	})
	f.applyVerdicts(verdicts.Update{Known: verdicts.Known{Voter: address, Version: a.UnevenVersion}, Reduced: a.Uneven})
	f.fetcher.noteRevision(address, a.Revision)
	f.applyVoterFleet(address, q, a)
	f.setFleetSize(address, a.Balancers)
	f.addVoters(a.Members)
	return nil
}

// applyVerdicts applies voters' verdicts on uneven upstreams, and reports whether any changed.
func (f *Follower) applyVerdicts(all ...verdicts.Update) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	if !f.settings.Uneven {
		return changed
	}
	now := f.settings.Clock()
	for _, u := range all {
		changed = f.verdicts.Apply(now, u) || changed
	}
	return changed
}

// applyVoterFleet applies the balancer list in a voter's response.
func (f *Follower) applyVoterFleet(address string, q feed.Request, a feed.Response) {
	if q.Self == nil || q.Fleet == a.FleetVersion && q.Life == a.Life {
		return
	}
	f.applyFleet(address, membership.List{Life: a.Life, Version: a.FleetVersion, Members: a.Fleet})
}

// applyFleet applies a source's list of balancers.
func (f *Follower) applyFleet(source string, l membership.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.settings.Clock()
	f.membership.SetList(now, source, l)
	f.selection.UpdateZone(now, f.membership.Addresses())
}

// applyVoterState applies a voter's state, in the order of its versions, and reports whether it was
// new. The source has known the young upstreams for a short time only.
func (f *Follower) applyVoterState(now time.Time, young recent.Set, x origins.Update) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	x = f.origins.Complete(x)
	accepted := f.origins.Accepts(now, x)
	f.mu.Unlock()
	if !accepted {
		return false
	}
	f.handler.OnRecent(young)
	f.handler.OnVoterState(now, x)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origins.Apply(now, x)
}

// applyInlineConfiguration applies a configuration that came with a voter's response.
func (f *Follower) applyInlineConfiguration(address string, current configuration.Configuration, encoded cbor.RawMessage) {
	var a history.Response
	err := cbor.Unmarshal(encoded, &a)
	if err == nil {
		current, err = history.Apply(current, a)
	}
	if err != nil {
		f.log.Warn("failed to decode configuration in voter response", "Address", address, "Error", err)
		return
	}
	f.handler.OnConfiguration(address, current)
}
