package control

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/allocation"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/upstream/view"
)

// remoteUpstreams holds the upstreams that other voters report. Usually balancers receive these
// upstreams from the other voters. The upstreams are saved to disk because after a site-wide power loss
// the first voter to respond has to know all upstreams.
type remoteUpstreams struct {
	mu   sync.Mutex
	view *view.View
	// claims holds the claims on shared cookies.
	claims claimStore
	// firstState is when another voter first sent its state.
	firstState time.Time
	// reported holds the upstreams that the source of the next update has known for a short time only.
	// recent records when upstreams became known.
	reported recent.Set
	recent   *recent.Tracker
	// version increases with each update of another voter that holds notices.
	version uint64
}

// claimStore holds the claims on shared cookies; feed.Feed implements it.
type claimStore interface {
	Claims() claims.Set
	MergeClaims(all []claims.Claim)
}

func newRemoteUpstreams(c claimStore) *remoteUpstreams {
	return &remoteUpstreams{claims: c, recent: recent.NewTracker(allocation.MaxSettling), view: view.New(view.Settings{ContactLease: follower.ContactLease, ForgetAfter: forgetAfter})}
}

// Configuration returns the maximum revision, so that no configuration is fetched: voters receive
// configurations through consensus.
func (o *remoteUpstreams) Configuration() configuration.Configuration {
	return configuration.Configuration{Revision: math.MaxUint64}
}

// HasUpstreams returns true, so that other voters do not send restored upstreams, which would never
// expire here.
func (o *remoteUpstreams) HasUpstreams() bool { return true }

// OnConfiguration ignores a configuration.
func (o *remoteUpstreams) OnConfiguration(string, configuration.Configuration) {}

// Evacuations returns the maximum revision, since voters receive evacuations through
// consensus too.
func (o *remoteUpstreams) Evacuations() evacuation.Evacuations {
	return evacuation.Evacuations{Revision: math.MaxUint64}
}

// OnEvacuations ignores evacuation orders.
func (o *remoteUpstreams) OnEvacuations(string, evacuation.Evacuations) {}

// Claims returns this voter's claims on shared cookies.
func (o *remoteUpstreams) Claims() claims.Set { return o.claims.Claims() }

// OnClaims adds claims of another voter.
func (o *remoteUpstreams) OnClaims(_ string, all []claims.Claim) { o.claims.MergeClaims(all) }

// OnVoterState applies a voter's update.
func (o *remoteUpstreams) OnVoterState(now time.Time, x origins.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstState.IsZero() {
		o.firstState = now
	}
	starting := now.Sub(o.firstState) < allocation.MaxSettling
	for _, n := range x.Notices {
		if starting && !o.reported.Has(n.Upstream.Incarnation) {
			continue
		}
		if t, known := o.view.Target(now, n.Upstream.Incarnation); !known || t.Born != n.Upstream.Born {
			o.recent.Note(now, n.Upstream.Incarnation)
		}
	}
	o.view.ApplyNotices(now, x.Voter, x.Life, x.Notices)
	if len(x.Notices) > 0 {
		o.version++
	}
}

// currentVersion returns a number that increases with each update of another voter that holds
// notices.
func (o *remoteUpstreams) currentVersion() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Live returns the upstreams that other voters report as live, marked as restored (Recalled).
func (o *remoteUpstreams) Live(now time.Time) []directory.Notice {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []directory.Notice
	for _, t := range o.view.Targets(now) {
		if t.Live {
			out = append(out, directory.Notice{Upstream: t.Upstream, Cold: max(t.ColdUntil.Sub(now), 0), Recalled: true})
		}
	}
	return out
}

// Recent returns the upstreams that other voters reported for the first time a short time ago.
func (o *remoteUpstreams) Recent(now time.Time) recent.Set {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recent.Recent(now)
}

// OnRecent receives the upstreams that another voter has known for a short time only.
func (o *remoteUpstreams) OnRecent(all recent.Set) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reported = all
}

// Address returns the address of an upstream that other voters reported.
func (o *remoteUpstreams) Address(now time.Time, incarnation, born uint64) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, known := o.view.Target(now, incarnation)
	return t.Address, known && t.Born == born && t.Address.IsValid()
}

// missingFrom returns the upstreams that other voters report as live and that are not live
// among this voter's own.
func (o *remoteUpstreams) missingFrom(now time.Time, own []directory.Notice) []directory.Notice {
	live := make(map[uint64]bool, len(own))
	for _, n := range own {
		live[n.Upstream.Incarnation] = !n.Silent
	}
	return lo.Reject(o.Live(now), func(n directory.Notice, _ int) bool { return live[n.Upstream.Incarnation] })
}
