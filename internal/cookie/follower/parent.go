package follower

import (
	"context"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/membership"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/wire/rpc"
)

const (
	// parentHold is how long a parent may hold a long poll when nothing has changed. If there is no
	// response for parentGrace longer, the parent counts as failed. Each level adds at
	// most parentHold to the age of a voter's state, so three levels stay within ContactLease.
	parentHold  = 600 * time.Millisecond
	parentGrace = 400 * time.Millisecond
	// emptyResponsePause prevents an immediate repeat of a poll whose response had no updates.
	emptyResponsePause = 20 * time.Millisecond
)

// pollParent polls a balancer until the context ends or a poll fails.
func (f *Follower) pollParent(ctx context.Context, address string) {
	client := rpc.NewClient(address, f.settings.Token).CountTraffic(f.settings.Traffic)
	defer client.Close()
	for ctx.Err() == nil {
		started := f.settings.Clock()
		updated, err := f.pollParentOnce(ctx, client, address)
		if ctx.Err() == nil {
			f.fetcher.recordPoll(address, err)
		}
		if err != nil {
			f.parentFailed(ctx, address, err)
			return
		}
		if !updated && f.settings.Clock().Sub(started) < emptyResponsePause {
			select {
			case <-ctx.Done():
			case <-time.After(emptyResponsePause):
			}
		}
	}
}

func (f *Follower) parentFailed(ctx context.Context, address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() != nil {
		// The source is no longer selected.
		return
	}
	f.log.Info("balancer does not answer", "Address", address, "Error", err)
	now := f.settings.Clock()
	delete(f.polled, address)
	f.membership.RemoveSource(now, address)
	f.selection.RecordFailure(now, address)
	f.reconcile(now)
}

// pollParentOnce polls a balancer and applies the response. It reports whether the response
// contained updates.
func (f *Follower) pollParentOnce(ctx context.Context, client *rpc.Client, address string) (bool, error) {
	q := f.parentRequest(address)
	call, cancel := context.WithTimeout(ctx, parentHold+parentGrace)
	defer cancel()
	sent := f.settings.Clock()
	a, err := rpc.Call[relay.Request, relay.Response](call, client, relay.SinceMethod, q)
	if err != nil {
		return false, err
	}
	now := f.settings.Clock()
	// The full round trip is added, so that no age is too small.
	roundTrip := max(now.Sub(sent)-a.Held, 0)
	updated, fresh := a.Revision > q.Revision, 0
	if a.Evacuations != nil {
		f.handler.OnEvacuations(address, *a.Evacuations)
		updated = true
	}
	f.applyClaims(address, a.Claims, a.ClaimsDigest)
	updated = updated || len(a.Claims) > 0
	for _, x := range a.Origins {
		x.Age += roundTrip
		if x.Age <= f.settings.StaleAfter {
			fresh++
		}
		if f.applyVoterState(now, lo.FromPtr(a.Recent), x) {
			updated = true
		}
	}
	for i := range a.Uneven {
		a.Uneven[i].Age += roundTrip
	}
	if f.applyVerdicts(a.Uneven...) {
		updated = true
	}
	f.fetcher.noteRevision(address, a.Revision)
	f.setFleetSize(address, a.Balancers)
	if q.Fleet != a.FleetVersion || len(a.Fleet) > 0 {
		f.applyFleet(address, membership.List{Version: a.FleetVersion, Members: a.Fleet})
		updated = true
	}
	f.mu.Lock()
	f.selection.RecordResponse(now, address, fresh)
	f.mu.Unlock()
	f.addVoters(a.Voters)
	return updated, nil
}

func (f *Follower) parentRequest(address string) relay.Request {
	evacuations := f.handler.Evacuations().Revision
	f.mu.Lock()
	defer f.mu.Unlock()
	q := relay.Request{
		Evacuations: evacuations, Claims: f.claimsOf(address), Starting: f.starting(),
		From: f.settings.Self.Address, Hold: parentHold, Revision: f.fetcher.revision(address),
		Fleet: f.membership.List(address).Version, Known: f.origins.VoterVersions(f.settings.Clock()),
	}
	if f.settings.Uneven {
		q.TakesUneven, q.Uneven = true, f.verdicts.Known(f.settings.Clock())
	}
	return q
}
