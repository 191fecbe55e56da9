package evacuation

import (
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/samber/lo"
)

const (
	// maxZones bounds the stored zones: the largest fleets have some tens of zones, and the
	// whole list is sent to every balancer when it changes.
	maxZones = 64
	// maxNameBytes is the maximum length of a zone's name: that of a DNS label.
	maxNameBytes = 63
)

// InvalidError is the reason why an order for a zone cannot be stored.
type InvalidError struct{ Zone, Reason string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("availability zone %q: %s", e.Zone, e.Reason)
}

// Zone is the latest order to start or end the evacuation of an availability zone.
type Zone struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Revision is the revision of Evacuations at which the order was added.
	Revision  uint64
	Evacuated bool
	// Who is the operator who gave the order, and When is its time. ChangeKey is the
	// idempotency key of the order.
	Who       string
	When      time.Time
	ChangeKey string
}

// Evacuations holds the current orders for all availability zones; it is immutable.
//
// A zone whose evacuation has ended stays in the list: its revision distinguishes a
// delayed order from a new one.
type Evacuations struct {
	_ struct{} `cbor:",toarray"`
	// Revision increases with each order that changes a zone.
	Revision uint64
	Zones    []Zone
}

// Lookup returns the latest order for a zone. If there is none, the result has revision 0.
func (e Evacuations) Lookup(name string) Zone {
	z, _ := lo.Find(e.Zones, func(z Zone) bool { return z.Name == name })
	z.Name = name
	return z
}

// Evacuated reports whether a zone is evacuated.
func (e Evacuations) Evacuated(name string) bool { return e.Lookup(name).Evacuated }

// EvacuatedZones returns the names of the evacuated zones.
func (e Evacuations) EvacuatedZones() []string {
	return lo.FilterMap(e.Zones, func(z Zone, _ int) (string, bool) { return z.Name, z.Evacuated })
}

// WithOrder returns the evacuations of the next revision, with order in place of the previous order for
// the zone.
func (e Evacuations) WithOrder(order Zone) Evacuations {
	e.Revision++
	order.Revision = e.Revision
	zones := lo.Reject(e.Zones, func(x Zone, _ int) bool { return x.Name == order.Name })
	e.Zones = slices.SortedFunc(slices.Values(append(zones, order)), func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// Check returns an InvalidError if the name of a zone is invalid or no further zone can be stored. A zone
// without known upstreams is accepted: a voter that has just started may lack their
// announcements, and an operator must not have to wait in an emergency.
func (e Evacuations) Check(name string) error {
	switch {
	case name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsGraphic(r) }):
		return &InvalidError{Zone: name, Reason: fmt.Sprintf("a name has 1 to %d printable bytes", maxNameBytes)}
	case e.Lookup(name).Revision == 0 && len(e.Zones) >= maxZones:
		return &InvalidError{Zone: name, Reason: fmt.Sprintf("%d zones are remembered already", maxZones)}
	}
	return nil
}
