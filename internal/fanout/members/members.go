package members

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/fanout/member"
)

// AttendEvery is the time between two reports of who follows a balancer. A report of 80
// members is 3 kB; every five seconds that is 0.6 kB/s from a balancer at the top.
const AttendEvery = 5 * time.Second

// lease is how long a member counts that is not heard of again: one that is three levels
// below is told of up to three reports late, and two reports may be lost.
const lease = 30 * time.Second

// Attendance is a member with the time since it was heard of.
type Attendance struct {
	_      struct{} `cbor:",toarray"`
	Member member.Member
	Age    time.Duration
}

type entry struct {
	member.Member
	heard time.Time
}

// Members are the balancers that were heard of lately.
type Members struct {
	byAddress map[string]entry
	// versions rise with each change of a zone's members.
	versions map[string]uint64
}

// New returns no members.
func New() *Members { return &Members{byAddress: map[string]entry{}, versions: map[string]uint64{}} }

// Hear notes that a member was heard of some time ago.
func (m *Members) Hear(now time.Time, a Attendance) {
	if a.Member.Address == "" || a.Age > lease {
		return
	}
	heard := now.Add(-a.Age)
	old, known := m.byAddress[a.Member.Address]
	if known && old.heard.After(heard) {
		return
	}
	m.byAddress[a.Member.Address] = entry{Member: a.Member, heard: heard}
	if old.Member != a.Member {
		m.changed(old.Zone, known)
		m.changed(a.Member.Zone, true)
	}
}

func (m *Members) changed(zone string, is bool) {
	if is {
		m.versions[zone]++
	}
}

// Tick forgets members that were not heard of for the lease.
func (m *Members) Tick(now time.Time) {
	for address, e := range m.byAddress {
		if now.Sub(e.heard) > lease {
			delete(m.byAddress, address)
			m.changed(e.Zone, true)
		}
	}
}

// Version rises with each change of a zone's members.
func (m *Members) Version(zone string) uint64 { return m.versions[zone] }

// Len returns the number of members of all zones.
func (m *Members) Len() int { return len(m.byAddress) }

// Zone returns the members of an availability zone in the order of their addresses.
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

// Attendances returns all members with the time since each was heard of.
func (m *Members) Attendances(now time.Time) []Attendance {
	var out []Attendance
	for _, e := range m.byAddress {
		out = append(out, Attendance{Member: e.Member, Age: now.Sub(e.heard)})
	}
	slices.SortFunc(out, func(a, b Attendance) int { return cmp.Compare(a.Member.Address, b.Member.Address) })
	return out
}
