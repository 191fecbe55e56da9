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
	// zonesMost bounds the zones that are remembered: the largest fleets have some tens, and
	// the list goes to each balancer with its news.
	zonesMost = 64
	// nameMost is the length in bytes of a zone's name: that of a DNS label.
	nameMost = 63
)

// InvalidError says why a zone cannot be evacuated or restored.
type InvalidError struct{ Zone, Reason string }

func (e *InvalidError) Error() string {
	return fmt.Sprintf("availability zone %q: %s", e.Zone, e.Reason)
}

// Zone is the last order for one availability zone.
type Zone struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Revision is that of the evacuations with which the order came in force.
	Revision  uint64
	Evacuated bool
	// Who ordered it, When, and under which ChangeKey.
	Who       string
	When      time.Time
	ChangeKey string
}

// Evacuations are the orders in force for all availability zones; immutable.
//
// A zone that was restored stays in the list: its revision tells an order that was
// delayed on its way from a new one.
type Evacuations struct {
	_ struct{} `cbor:",toarray"`
	// Revision rises with each order that changes anything.
	Revision uint64
	Zones    []Zone
}

// Of returns the last order for a zone; one that was never ordered has revision 0.
func (e Evacuations) Of(name string) Zone {
	z, _ := lo.Find(e.Zones, func(z Zone) bool { return z.Name == name })
	z.Name = name
	return z
}

// Evacuated says that a zone takes no new flows.
func (e Evacuations) Evacuated(name string) bool { return e.Of(name).Evacuated }

// Names returns the zones that take no new flows.
func (e Evacuations) Names() []string {
	return lo.FilterMap(e.Zones, func(z Zone, _ int) (string, bool) { return z.Name, z.Evacuated })
}

// With returns the evacuations with an order at the next revision.
func (e Evacuations) With(z Zone) Evacuations {
	e.Revision++
	z.Revision = e.Revision
	zones := lo.Reject(e.Zones, func(x Zone, _ int) bool { return x.Name == z.Name })
	e.Zones = slices.SortedFunc(slices.Values(append(zones, z)), func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return e
}

// Check returns an InvalidError where no order for a zone of that name can be kept. A zone
// without upstreams is allowed: those that know the upstreams may have started just now, and
// an operator who empties a zone in need must not wait for them.
func (e Evacuations) Check(name string) error {
	switch {
	case name == "" || len(name) > nameMost || strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsGraphic(r) }):
		return &InvalidError{Zone: name, Reason: fmt.Sprintf("a name has 1 to %d printable bytes", nameMost)}
	case e.Of(name).Revision == 0 && len(e.Zones) >= zonesMost:
		return &InvalidError{Zone: name, Reason: fmt.Sprintf("%d zones are remembered already", zonesMost)}
	}
	return nil
}
