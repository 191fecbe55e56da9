package members

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/fanout/member"
)

// ReportInterval is how often a balancer reports its followers. A report of 80 members is 3 kB;
// every five seconds that is 0.6 kB/s from a root.
const ReportInterval = 5 * time.Second

// lease is how long a member is kept without refresh. A refresh from three levels below arrives
// up to three report intervals late, and two reports may be lost.
const lease = 30 * time.Second

// Heartbeat is a member with the time since its last refresh.
type Heartbeat struct {
	_      struct{} `cbor:",toarray"`
	Member member.Member
	Age    time.Duration
}

type entry struct {
	member.Member
	refreshed time.Time
}

// Members holds the balancers whose lease has not expired.
type Members struct {
	byAddress map[string]entry
	// versions holds a version per zone that rises with each change of its members.
	versions map[string]uint64
}

// New returns an empty set of members.
func New() *Members { return &Members{byAddress: map[string]entry{}, versions: map[string]uint64{}} }

// Refresh records that a member was refreshed h.Age before now.
func (m *Members) Refresh(now time.Time, h Heartbeat) {
	if h.Member.Address == "" || h.Age > lease {
		return
	}
	refreshed := now.Add(-h.Age)
	old, known := m.byAddress[h.Member.Address]
	if known && old.refreshed.After(refreshed) {
		return
	}
	m.byAddress[h.Member.Address] = entry{Member: h.Member, refreshed: refreshed}
	if old.Member != h.Member {
		m.bump(old.Zone, known)
		m.bump(h.Member.Zone, true)
	}
}

func (m *Members) bump(zone string, applies bool) {
	if applies {
		m.versions[zone]++
	}
}

// Tick removes members whose lease has expired.
func (m *Members) Tick(now time.Time) {
	for address, e := range m.byAddress {
		if now.Sub(e.refreshed) > lease {
			delete(m.byAddress, address)
			m.bump(e.Zone, true)
		}
	}
}

// Version rises with each change of a zone's members.
func (m *Members) Version(zone string) uint64 { return m.versions[zone] }

// Len returns the number of members of all zones.
func (m *Members) Len() int { return len(m.byAddress) }

// CountByZone returns the number of members of each availability zone.
func (m *Members) CountByZone() map[string]int {
	out := map[string]int{}
	for _, e := range m.byAddress {
		out[e.Zone]++
	}
	return out
}

// Zone returns the members of an availability zone, sorted by address.
func (m *Members) Zone(zone string) []member.Member {
	var out []member.Member
	for _, e := range m.byAddress {
		if e.Zone == zone {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b member.Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// Heartbeats returns all members with the time since each one's last refresh.
func (m *Members) Heartbeats(now time.Time) []Heartbeat {
	var out []Heartbeat
	for _, e := range m.byAddress {
		out = append(out, Heartbeat{Member: e.Member, Age: now.Sub(e.refreshed)})
	}
	slices.SortFunc(out, func(a, b Heartbeat) int { return cmp.Compare(a.Member.Address, b.Member.Address) })
	return out
}
