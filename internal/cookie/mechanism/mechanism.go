package mechanism

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Mechanism is one of a balancer's ways to decide.
type Mechanism uint8

// The mechanisms.
const (
	// Admission refuses new flows of overloaded services.
	Admission Mechanism = iota
	// Slowness takes upstreams last that answer more slowly than others.
	Slowness
	// OwnZone prefers upstreams of the balancer's own availability zone.
	OwnZone
	// Suspicion keeps new flows from upstreams that left a packet unanswered here.
	Suspicion
	// ColdShare gives upstreams less that have just started.
	ColdShare
	// Settling refuses nothing for a while after a start.
	Settling
	// SharedSilence lets balancers find out together which upstreams are silent.
	SharedSilence
	// KeptPackets keeps packets that cannot be placed yet.
	KeptPackets
	// RoomAfterStart places kept packets only as upstreams have room.
	RoomAfterStart
	// UploadWait lets uploads wait a moment for room on a narrow link.
	UploadWait
	// Pacing limits and paces uploads on a narrow link.
	Pacing
	// Concurrency refuses new flows beyond a balancer's share of what upstreams work on.
	Concurrency
	// SlowStart gives cold upstreams no more than their services say that they bear.
	SlowStart
)

var names = [...]string{
	"Admission", "Slowness", "OwnZone", "Suspicion", "ColdShare", "Settling", "SharedSilence",
	"KeptPackets", "RoomAfterStart", "UploadWait", "Pacing", "Concurrency", "SlowStart",
}

// String returns the mechanism's name as it stands in settings.
func (m Mechanism) String() string { return names[m] }

// UnknownError says that a name is no mechanism's.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string {
	return fmt.Sprintf("%q is no mechanism; allowed: %s", e.Name, strings.Join(names[:], ", "))
}

// Off is the mechanisms that are switched off, a bit each; the zero value switches none off.
type Off uint32

// Parse reads names joined by commas.
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

// Has says whether a mechanism is switched off.
func (o Off) Has(m Mechanism) bool { return o&(1<<m) != 0 }

// String returns the names in order, joined by commas.
func (o Off) String() string {
	return strings.Join(lo.Filter(names[:], func(_ string, m int) bool { return o.Has(Mechanism(m)) }), ",")
}

// MarshalText writes the names.
func (o Off) MarshalText() ([]byte, error) { return []byte(o.String()), nil }
