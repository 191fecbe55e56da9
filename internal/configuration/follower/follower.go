package follower

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/member/swim"
	"wasabideal/internal/model/configuration"
)

// wireRevision is the revision of a balancer's configuration, with the address to fetch it from.
type wireRevision struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Source   netip.AddrPort
}

// Follower holds the newest configuration received from voters and peers. It is not safe
// for concurrent use.
type Follower struct {
	current   configuration.Configuration
	source    netip.AddrPort
	since     time.Time
	confirmed time.Time
	// newest is the newest revision that a peer announced, and newestAt is the peer's address.
	newest   uint64
	newestAt netip.AddrPort
}

// New returns a Follower without a configuration; peers fetch this balancer's configuration
// from the address source.
func New(source netip.AddrPort) *Follower { return &Follower{source: source} }

// Current returns the applied configuration; revision 0 means none yet.
func (f *Follower) Current() configuration.Configuration { return f.current }

// Age returns the time since the current or a newer revision was last received.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.confirmed) }

// Offer applies a configuration if it is newer and valid, and reports whether it did.
//
// An older configuration never replaces a newer one: a restarted peer or a partitioned
// voter may still send an older one.
func (f *Follower) Offer(now time.Time, c configuration.Configuration) bool {
	if c.Revision >= f.current.Revision {
		f.confirmed = now
	}
	if c.Revision <= f.current.Revision || c.Check() != nil {
		return false
	}
	f.current = c
	f.since = now
	return true
}

// NewestPeer returns the address of the peer that announced the newest revision, and whether
// that revision is newer than the applied one.
func (f *Follower) NewestPeer() (netip.AddrPort, bool) {
	return f.newestAt, f.newest > f.current.Revision
}

// Payload encodes this balancer's revision for gossip, so that peers can fetch the
// configuration.
func (f *Follower) Payload(time.Time, int) []byte {
	b, _ := cbor.Marshal(wireRevision{Revision: f.current.Revision, Source: f.source})
	return b
}

// HandlePayload records the revision of a peer.
func (f *Follower) HandlePayload(_ time.Time, _ swim.Member, data []byte) {
	var w wireRevision
	if cbor.Unmarshal(data, &w) != nil || !w.Source.IsValid() {
		return
	}
	if w.Revision > f.current.Revision && w.Revision >= f.newest {
		f.newest, f.newestAt = w.Revision, w.Source
	}
}
