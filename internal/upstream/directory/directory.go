package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/recent"
)

// withdrawnGrace is how long a withdrawn upstream may still serve its open flows. The upstream
// ends once its deregistration is acknowledged, or some seconds later if no acknowledgement
// reaches it.
const withdrawnGrace = 10 * time.Second

// Settings configures a directory.
type Settings struct {
	// SilentAfter is the time without an announcement after which an upstream
	// counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is how long silent and withdrawn upstreams are kept.
	ForgetAfter time.Duration
	// RecentFor is how long an upstream that became known is recent.
	RecentFor time.Duration
}

// Notice is the state of one upstream as the directory publishes it.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	// Cold is the remaining time of the slow start of the upstream.
	Cold time.Duration
	// Silent has two meanings. For a ready or draining upstream, it reports that announcements to
	// this voter are overdue. For a withdrawn upstream, it reports that the upstream is assumed
	// to have ended, since withdrawnGrace has passed.
	Silent bool
	// Replaced reports whether another incarnation has since announced itself at the address. If
	// the upstream is silent, Replaced also requires that the other incarnation is alive.
	Replaced bool
	// Age is the time since the upstream's last announcement.
	Age time.Duration
	// Recalled reports whether the upstream is restored: another voter had received its
	// announcements, and this voter knows it only from the state that it saved before its restart.
	Recalled bool
}

// entry is the latest announcement of one incarnation.
type entry struct {
	upstream.Upstream
	coldUntil     time.Time
	lastAnnounced time.Time
	silent        bool
	replaced      bool
	// successorAlive reports whether the incarnation that replaced this one is alive.
	successorAlive bool
	restored       bool
	// returned reports whether the upstream has announced itself once since it was replaced.
	returned bool
	// changed is the directory's version at the last change to publish.
	changed uint64
}

// Directory holds the announcements that one voter received. It is not safe for concurrent use.
type Directory struct {
	settings Settings
	entries  map[uint64]*entry
	// holders maps each address to its holder, the incarnation that took it last.
	holders map[netip.AddrPort]uint64
	version uint64
	recent  *recent.Tracker
}

// New returns an empty directory.
func New(s Settings) *Directory {
	return &Directory{settings: s, entries: map[uint64]*entry{}, holders: map[netip.AddrPort]uint64{}, recent: recent.NewTracker(s.RecentFor)}
}

// Version increases with each change that Since returns.
func (d *Directory) Version() uint64 { return d.version }

// Announce stores an announcement; cold is the remaining time of the upstream's slow start. It
// returns whether the announcement is a change to publish, and whether it is newer than the
// stored one. Delayed and repeated announcements are not newer.
func (d *Directory) Announce(now time.Time, u upstream.Upstream, cold time.Duration) (publish, newer bool) {
	old := d.entries[u.Incarnation]
	if old != nil && u.State == upstream.Withdrawn && (u.Born == 0 || u.Born >= old.Born) {
		// A deregistration may carry only the incarnation of the upstream.
		born := max(u.Born, old.Born)
		u = old.WithState(upstream.Withdrawn)
		u.Born = born
	}
	if old != nil && !supersedes(u, old.Upstream) {
		return false, false
	}
	d.releaseAddress(u, old)
	e := &entry{Upstream: u, coldUntil: now.Add(cold), lastAnnounced: now}
	if old == nil || old.Born != u.Born {
		d.recent.Note(now, u.Incarnation)
	}
	d.entries[u.Incarnation] = e
	publish = old == nil || old.silent || old.replaced || old.restored || !equalExceptSequence(old.Upstream, u)
	if u.State == upstream.Ready && d.maybeDelayed(now, u, old) {
		e.replaced, e.returned, e.changed = true, true, old.changed
		return false, true
	}
	if !publish {
		e.changed = old.changed
	}
	if d.takeAddress(u) || publish {
		d.markChanged(e)
		return true, true
	}
	return false, true
}

// Restore adds an upstream of another voter from this voter's saved state, unless the same or a
// later instance of the upstream is known. If a restored upstream does not announce itself here,
// it is removed without a notice. Otherwise, seconds after a power loss of all VMs, each voter
// would publish thousands of silent upstreams to every balancer.
func (d *Directory) Restore(now time.Time, u upstream.Upstream, cold time.Duration) {
	if old := d.entries[u.Incarnation]; old != nil && u.Born <= old.Born {
		return
	}
	d.releaseAddress(u, d.entries[u.Incarnation])
	e := &entry{Upstream: u, coldUntil: now.Add(cold), lastAnnounced: now, restored: true}
	d.entries[u.Incarnation] = e
	d.markChanged(e)
}

// supersedes reports whether an announcement is later than the stored one. A withdrawn instance
// stays withdrawn, so that a delayed announcement does not revive it. A later start with the same
// incarnation is a new instance, and its announcements supersede the stored one whatever their
// sequence.
func supersedes(u, stored upstream.Upstream) bool {
	if u.Born != stored.Born {
		return u.Born > stored.Born
	}
	return stored.State != upstream.Withdrawn && (u.State == upstream.Withdrawn || u.Sequence > stored.Sequence)
}

// equalExceptSequence reports whether two announcements differ in at most their sequence.
func equalExceptSequence(a, b upstream.Upstream) bool {
	a.Sequence = b.Sequence
	return a == b
}

// maybeDelayed reports whether the announcement of a replaced upstream may have been sent before
// its successor started. This is so for the first announcement since the replacement, while the
// successor still announces itself. Accepting it would take the address from a live upstream and
// send new flows to a dead one until the next announcement. A second announcement shows that the
// replaced upstream is alive.
func (d *Directory) maybeDelayed(now time.Time, u upstream.Upstream, old *entry) bool {
	if old == nil || !old.replaced || old.returned || u.Born != old.Born {
		return false
	}
	holder := d.entries[d.holders[old.Address]]
	return holder != nil && holder.State != upstream.Withdrawn && now.Sub(holder.lastAnnounced) <= d.settings.SilentAfter
}

// releaseAddress releases the former address of an upstream that has moved. Otherwise the
// upstream would count as replaced once another upstream starts at that address.
func (d *Directory) releaseAddress(u upstream.Upstream, old *entry) {
	if old != nil && old.Address != u.Address && d.holders[old.Address] == u.Incarnation {
		delete(d.holders, old.Address)
	}
}

// takeAddress makes the upstream the holder of its address, and returns whether another incarnation
// held it before.
func (d *Directory) takeAddress(u upstream.Upstream) bool {
	if u.State == upstream.Withdrawn || !u.Address.IsValid() {
		return false
	}
	before, held := d.holders[u.Address]
	d.holders[u.Address] = u.Incarnation
	if !held || before == u.Incarnation {
		return false
	}
	if o := d.entries[before]; o != nil && o.State != upstream.Withdrawn {
		o.replaced = true
		d.markChanged(o)
	}
	return true
}

// markChanged assigns a new version to a changed entry, so that Since returns it.
func (d *Directory) markChanged(e *entry) {
	d.version++
	e.changed = d.version
}

// Tick marks silent upstreams and forgets old ones. It returns whether there is a change to
// publish.
func (d *Directory) Tick(now time.Time) bool {
	before := d.version
	for id, e := range d.entries {
		age := now.Sub(e.lastAnnounced)
		if age > d.settings.ForgetAfter || e.restored && age > d.settings.SilentAfter {
			delete(d.entries, id)
			if d.holders[e.Address] == id {
				delete(d.holders, e.Address)
			}
			continue
		}
		if !e.silent && age > d.silentAfter(e.State) {
			e.silent = true
			d.markChanged(e)
		}
		if e.silent && e.replaced && !e.successorAlive && d.hasLiveSuccessor(e) {
			e.successorAlive = true
			d.markChanged(e)
		}
	}
	return d.version != before
}

// hasLiveSuccessor reports whether the current holder of an entry's address has announced itself
// at least half of SilentAfter later than the entry. A single announcement right after the
// entry's last one may be a delayed announcement of a dead upstream.
func (d *Directory) hasLiveSuccessor(e *entry) bool {
	holder := d.entries[d.holders[e.Address]]
	return holder != nil && holder.Incarnation != e.Incarnation && holder.lastAnnounced.Sub(e.lastAnnounced) >= d.settings.SilentAfter/2
}

func (d *Directory) silentAfter(s upstream.State) time.Duration {
	if s == upstream.Withdrawn {
		return withdrawnGrace
	}
	return d.settings.SilentAfter
}

// Since returns the upstreams that changed after a version of the directory, sorted by
// incarnation.
func (d *Directory) Since(now time.Time, version uint64) []Notice {
	if version == d.version {
		// Most requests find no change, and iterating over all upstreams costs 30 ns per
		// upstream.
		return nil
	}
	var out []Notice
	for _, e := range d.entries {
		if e.changed > version {
			out = append(out, e.notice(now))
		}
	}
	slices.SortFunc(out, func(a, b Notice) int { return cmp.Compare(a.Upstream.Incarnation, b.Upstream.Incarnation) })
	return out
}

// Address returns the address of one instance of an upstream, and whether it is known.
func (d *Directory) Address(incarnation, born uint64) (netip.AddrPort, bool) {
	e := d.entries[incarnation]
	if e == nil || e.Born != born || !e.Address.IsValid() {
		return netip.AddrPort{}, false
	}
	return e.Address, true
}

// MarkEstablished records that all instances have been known for long.
func (d *Directory) MarkEstablished() { d.recent.Clear() }

// Recent returns the upstreams of which an instance became known within Settings.RecentFor.
func (d *Directory) Recent(now time.Time) recent.Set { return d.recent.Recent(now) }

// RecentAddresses returns the addresses of up to limit ready upstreams with the most recent
// announcements, except for the excluded ones.
func (d *Directory) RecentAddresses(limit int, excluded func(incarnation uint64) bool) []netip.AddrPort {
	latestFirst := func(a, b *entry) int { return b.lastAnnounced.Compare(a.lastAnnounced) }
	var latest []*entry
	for id, e := range d.entries {
		if e.restored || e.silent || e.replaced || e.State != upstream.Ready {
			continue
		}
		if len(latest) == limit && !e.lastAnnounced.After(latest[limit-1].lastAnnounced) || excluded(id) {
			continue
		}
		latest = append(latest, e)
		slices.SortFunc(latest, latestFirst)
		latest = latest[:min(limit, len(latest))]
	}
	return lo.Map(latest, func(e *entry, _ int) netip.AddrPort { return e.Address })
}

func (e *entry) notice(now time.Time) Notice {
	return Notice{
		Upstream: e.Upstream, Cold: max(e.coldUntil.Sub(now), 0), Silent: e.silent, Replaced: e.replaced && (!e.silent || e.successorAlive), Age: now.Sub(e.lastAnnounced),
		Recalled: e.restored,
	}
}
