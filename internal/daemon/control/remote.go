package control

import (
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/view"
)

// remoteUpstreams holds the upstreams that other voters report. Usually balancers receive these
// upstreams from the other voters. The upstreams are saved to disk because after a site-wide power loss
// the first voter to respond has to know all upstreams.
type remoteUpstreams struct {
	mu   sync.Mutex
	view *view.View
	// version increases with each update of another voter that holds notices.
	version uint64
}

func newRemoteUpstreams() *remoteUpstreams {
	return &remoteUpstreams{view: view.New(view.Settings{ContactLease: follower.ContactLease, ForgetAfter: forgetAfter})}
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

// OnVoterState applies a voter's update.
func (o *remoteUpstreams) OnVoterState(now time.Time, x origins.Update) {
	o.mu.Lock()
	defer o.mu.Unlock()
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
