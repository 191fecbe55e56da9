package mechanism

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Mechanism is an optional part of a balancer's routing logic.
type Mechanism uint8

const (
	// Admission rejects new flows to overloaded services.
	Admission Mechanism = iota
	// Slowness makes upstreams that answer more slowly than others less preferred.
	Slowness
	// OwnZone prefers upstreams of the balancer's own availability zone.
	OwnZone
	// Suspicion sends no new flows to upstreams that left a packet of this balancer unanswered.
	Suspicion
	// ColdShare gives upstreams that have just started a smaller share of new flows.
	ColdShare
	// Settling suspends rejections for overload, and resets for a missing upstream, for a
	// period after a start.
	Settling
	// SharedSilence reports unanswered packets to the voters, which combine the evidence of all
	// balancers.
	SharedSilence
	// KeptPackets buffers packets that cannot be placed yet.
	KeptPackets
	// RoomAfterStart places buffered packets only while upstreams have capacity.
	RoomAfterStart
	// UploadWait briefly queues uploads until a narrow link has capacity.
	UploadWait
	// Pacing limits the number and the rate of uploads on a narrow link.
	Pacing
	// Concurrency rejects new flows beyond a balancer's share of the upstreams' slots.
	Concurrency
	// SlowStart limits cold upstreams to the rate configured for their service.
	SlowStart
	// ZonePlacement sends new flows to other availability zones by the load of all zones.
	ZonePlacement
	// ZoneAdmission rejects new flows by the load of all zones.
	ZoneAdmission
	// LinkAdmission rejects new flows beyond the capacity of the VM's link.
	LinkAdmission
	// Uneven sends fewer new flows to upstreams that answer more requests shortly than others of
	// their service.
	Uneven
)

var names = [...]string{
	"Admission", "Slowness", "OwnZone", "Suspicion", "ColdShare", "Settling", "SharedSilence",
	"KeptPackets", "RoomAfterStart", "UploadWait", "Pacing", "Concurrency", "SlowStart",
	"ZonePlacement", "ZoneAdmission", "LinkAdmission", "Uneven",
}

// String returns the mechanism's name as used in settings.
func (m Mechanism) String() string { return names[m] }

// UnknownError reports a name that is not a mechanism.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown mechanism %q; allowed: %s", e.Name, strings.Join(names[:], ", "))
}

// Off is a bit set of disabled mechanisms; its zero value disables none.
type Off uint32

// Parse parses a comma-separated list of names.
func Parse(list string) (Off, error) {
	var o Off
	for _, name := range lo.Compact(strings.Split(list, ",")) {
		m := slices.Index(names[:], strings.TrimSpace(name))
		if m < 0 {
			return 0, &UnknownError{Name: name}
		}
		o |= 1 << m
	}
	return o, nil
}

// Has reports whether a mechanism is disabled.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// String returns a comma-separated list of names in the order of declaration.
func (o Off) String() string {
	return strings.Join(lo.Filter(names[:], func(_ string, m int) bool { return o.Has(Mechanism(m)) }), ",")
}

// MarshalText returns the list of names.
func (o Off) MarshalText() ([]byte, error) { return []byte(o.String()), nil }
