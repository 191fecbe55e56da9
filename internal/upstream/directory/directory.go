package directory

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/model/upstream"
)

// departedAfter is how long after its departure an upstream may still serve its open flows: it ends
// once the departure is acknowledged, or some seconds later where no acknowledgement reaches it.
const departedAfter = 10 * time.Second

// Settings bound a directory.
type Settings struct {
	// SilentAfter is the time without an announcement after which an upstream
	// counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is how long silent and withdrawn upstreams are remembered.
	ForgetAfter time.Duration
}

// Notice is what a directory tells of one upstream.
type Notice struct {
	_        struct{} `cbor:",toarray"`
	Upstream upstream.Upstream
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
	// Silent says that announcements are overdue here, or, of an upstream that has withdrawn,
	// that it has ended.
	Silent bool
	// Replaced says that another incarnation was heard at the address since; of one that is
	// silent, that the other one lives.
	Replaced bool
	// Age is the time since the last announcement.
	Age time.Duration
	// Recalled says that it was not heard here: another voter heard it before this
	// one restarted.
	Recalled bool
}

type entry struct {
	upstream.Upstream
	coldUntil time.Time
	heard     time.Time
	silent    bool
	replaced  bool
	// succeeded says that the one that was heard at its address lives.
	succeeded bool
	recalled  bool
	// returned says that a replaced upstream was heard once more.
	returned bool
	// changed is the directory's version when others last had to be told.
	changed uint64
}

// Directory is the announcements that one process heard; one goroutine owns it.
type Directory struct {
	settings Settings
	entries  map[uint64]*entry
	holders  map[netip.AddrPort]uint64
	version  uint64
}

// New returns an empty directory.
func New(s Settings) *Directory {
	return &Directory{settings: s, entries: map[uint64]*entry{}, holders: map[netip.AddrPort]uint64{}}
}

// Version rises whenever Since has news.
func (d *Directory) Version() uint64 { return d.version }

// Announce takes an announcement, and reports whether it is news to others and
// whether it is newer than what was known; late and repeated ones are not.
func (d *Directory) Announce(now time.Time, u upstream.Upstream, cold time.Duration) (news, newer bool) {
	old := d.entries[u.Incarnation]
	if old != nil && u.State == upstream.Withdrawn && (u.Born == 0 || u.Born >= old.Born) {
		// A departure may come without a description of the upstream.
		born := max(u.Born, old.Born)
		u = old.WithState(upstream.Withdrawn)
		u.Born = born
	}
	if old != nil && !follows(u, old.Upstream) {
		return false, false
	}
	d.leaveAddress(u, old)
	e := &entry{Upstream: u, coldUntil: now.Add(cold), heard: now}
	d.entries[u.Incarnation] = e
	news = old == nil || old.silent || old.replaced || old.recalled || !sameBut(old.Upstream, u)
	if u.State == upstream.Ready && d.late(now, u, old) {
		e.replaced, e.returned, e.changed = true, true, old.changed
		return false, true
	}
	if !news {
		e.changed = old.changed
	}
	if d.hold(u) || news {
		d.tell(e)
		return true, true
	}
	return false, true
}

// Recall takes an upstream that another voter heard before a restart, if it is not
// known. It is forgotten without a word where it is not heard here: in a fleet of
// thousands its silence would be news for each of them to every balancer from each
// voter, seconds after a loss of power everywhere.
func (d *Directory) Recall(now time.Time, u upstream.Upstream, cold time.Duration) {
	if old := d.entries[u.Incarnation]; old != nil && u.Born <= old.Born {
		return
	}
	d.leaveAddress(u, d.entries[u.Incarnation])
	e := &entry{Upstream: u, coldUntil: now.Add(cold), heard: now, recalled: true}
	d.entries[u.Incarnation] = e
	d.tell(e)
}

// follows says that an announcement is later than what was heard of the upstream. A life
// that was withdrawn stays so, or a delayed announcement would revive it; a later start
// of the same incarnation is another life, whatever its sequence.
func follows(u, heard upstream.Upstream) bool {
	if u.Born != heard.Born {
		return u.Born > heard.Born
	}
	return heard.State != upstream.Withdrawn && (u.State == upstream.Withdrawn || u.Sequence > heard.Sequence)
}

// sameBut says that two announcements differ in their sequence only.
func sameBut(a, b upstream.Upstream) bool {
	a.Sequence = b.Sequence
	return a == b
}

// late says that a replaced upstream's announcement may be one that was delayed,
// sent before another started at its address: that one is heard, and this one was
// not since. A delayed one would take the address from an upstream that serves until
// that announces itself again, and new flows would be sent to one that is gone. A
// second announcement shows that it lives.
func (d *Directory) late(now time.Time, u upstream.Upstream, old *entry) bool {
	if old == nil || !old.replaced || old.returned || u.Born != old.Born {
		return false
	}
	holder := d.entries[d.holders[old.Address]]
	return holder != nil && holder.State != upstream.Withdrawn && now.Sub(holder.heard) <= d.settings.SilentAfter
}

// leaveAddress takes the address that an upstream had before from it. Another one that
// starts there later would otherwise count as its successor, and this one as replaced.
func (d *Directory) leaveAddress(u upstream.Upstream, old *entry) {
	if old != nil && old.Address != u.Address && d.holders[old.Address] == u.Incarnation {
		delete(d.holders, old.Address)
	}
}

// hold makes the upstream the holder of its address, and says whether another was.
func (d *Directory) hold(u upstream.Upstream) bool {
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
		d.tell(o)
	}
	return true
}

func (d *Directory) tell(e *entry) {
	d.version++
	e.changed = d.version
}

// Tick notes silence and forgets, and reports whether others must be told.
func (d *Directory) Tick(now time.Time) bool {
	before := d.version
	for id, e := range d.entries {
		age := now.Sub(e.heard)
		if age > d.settings.ForgetAfter || e.recalled && age > d.settings.SilentAfter {
			delete(d.entries, id)
			if d.holders[e.Address] == id {
				delete(d.holders, e.Address)
			}
			continue
		}
		if !e.silent && age > d.silentAfter(e.State) {
			e.silent = true
			d.tell(e)
		}
		if e.silent && e.replaced && !e.succeeded && d.succeeds(e) {
			e.succeeded = true
			d.tell(e)
		}
	}
	return d.version != before
}

// succeeds says that the upstream that took the address of another one announced itself for some
// time after that was last heard. A single announcement may be one that was delayed, of an
// upstream that is gone.
func (d *Directory) succeeds(e *entry) bool {
	holder := d.entries[d.holders[e.Address]]
	return holder != nil && holder.Incarnation != e.Incarnation && holder.heard.Sub(e.heard) >= d.settings.SilentAfter/2
}

func (d *Directory) silentAfter(s upstream.State) time.Duration {
	if s == upstream.Withdrawn {
		return departedAfter
	}
	return d.settings.SilentAfter
}

// Since returns what is news after a version, in the order of incarnations.
func (d *Directory) Since(now time.Time, version uint64) []Notice {
	if version == d.version {
		// Most questions find no news; looking at all upstreams for each cost
		// 30 ns an upstream.
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

// Address returns where the life of an upstream is, if it was heard.
func (d *Directory) Address(incarnation, born uint64) (netip.AddrPort, bool) {
	e := d.entries[incarnation]
	if e == nil || e.Born != born || !e.Address.IsValid() {
		return netip.AddrPort{}, false
	}
	return e.Address, true
}

// Heard returns the addresses of the upstreams that announced themselves last, but for those
// that are left out.
func (d *Directory) Heard(most int, leftOut func(incarnation uint64) bool) []netip.AddrPort {
	latestFirst := func(a, b *entry) int { return b.heard.Compare(a.heard) }
	var last []*entry
	for id, e := range d.entries {
		if e.recalled || e.silent || e.replaced || e.State != upstream.Ready {
			continue
		}
		if len(last) == most && !e.heard.After(last[most-1].heard) || leftOut(id) {
			continue
		}
		last = append(last, e)
		slices.SortFunc(last, latestFirst)
		last = last[:min(most, len(last))]
	}
	return lo.Map(last, func(e *entry, _ int) netip.AddrPort { return e.Address })
}

func (e *entry) notice(now time.Time) Notice {
	return Notice{
		Upstream: e.Upstream, Cold: max(e.coldUntil.Sub(now), 0), Silent: e.silent, Replaced: e.replaced && (!e.silent || e.succeeded), Age: now.Sub(e.heard),
		Recalled: e.recalled,
	}
}
