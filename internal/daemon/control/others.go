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

// others is what the other voters tell of upstreams. It goes to the disk only:
// balancers hear each voter themselves, but after a loss of power everywhere the
// first voter to answer them has to know all upstreams.
type others struct {
	mu   sync.Mutex
	view *view.View
	// version rises with what others tell.
	version uint64
}

func newOthers() *others {
	return &others{view: view.New(view.Settings{ContactLease: follower.ContactLease, ForgetAfter: forgetUpstream})}
}

// Held names a configuration that none is newer than: voters agree on
// configurations in their own way.
func (o *others) Held() configuration.Configuration {
	return configuration.Configuration{Revision: math.MaxUint64}
}

// Informed keeps what others recalled out: it would never grow old.
func (o *others) Informed() bool { return true }

// Offered ignores a configuration.
func (o *others) Offered(string, configuration.Configuration) {}

// Evacuations names orders that none are newer than: voters agree on them, too.
func (o *others) Evacuations() evacuation.Evacuations {
	return evacuation.Evacuations{Revision: math.MaxUint64}
}

// Evacuated ignores orders for availability zones.
func (o *others) Evacuated(string, evacuation.Evacuations) {}

// Answered takes a voter's news.
func (o *others) Answered(now time.Time, x origins.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view.Take(now, x.Voter, x.Life, x.Notices)
	if len(x.Notices) > 0 {
		o.version++
	}
}

// changes rises with what others tell.
func (o *others) changes() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// Live returns the upstreams that others hear.
func (o *others) Live(now time.Time) []directory.Notice {
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

// Address returns where an upstream is that others heard.
func (o *others) Address(now time.Time, incarnation, born uint64) (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t, known := o.view.Target(now, incarnation)
	return t.Address, known && t.Born == born && t.Address.IsValid()
}

// beside returns the upstreams that others hear and this voter does not.
func (o *others) beside(now time.Time, own []directory.Notice) []directory.Notice {
	heard := make(map[uint64]bool, len(own))
	for _, n := range own {
		heard[n.Upstream.Incarnation] = !n.Silent
	}
	return lo.Reject(o.Live(now), func(n directory.Notice, _ int) bool { return heard[n.Upstream.Incarnation] })
}
