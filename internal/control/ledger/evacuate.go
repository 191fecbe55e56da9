package ledger

import (
	"wasabideal/internal/model/evacuation"
)

// Evacuation starts or ends the evacuation of one availability zone.
type Evacuation struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// On starts the evacuation: upstreams of the zone receive no new flows.
	On bool
}

// Evacuations returns the evacuation state of the availability zones.
func (l *Ledger) Evacuations() evacuation.Evacuations { return l.evacuations }

// evacuate applies an evacuation order. It rejects an order if the zone's state changed after a
// voter received the order. Operators' calls carry no sequence number, so an order delayed by a
// stalled voter or a partition would otherwise undo a later order. An order that matches the current
// state is accepted for any expected revision, since operators resend an order whose response was lost.
func (l *Ledger) evacuate(c Change) Answer {
	x := *c.Evacuate
	current := l.evacuations.Lookup(x.Zone)
	if err := l.evacuations.Check(x.Zone); err != nil {
		return Answer{Verdict: Invalid, Revision: current.Revision, Reason: err.Error()}
	}
	if x.On == current.Evacuated {
		return Answer{Verdict: Superseded, Revision: current.Revision}
	}
	if c.ExpectRevision != current.Revision {
		return Answer{Verdict: Conflict, Revision: current.Revision, WinnerKey: current.ChangeKey, WinnerWho: current.Who}
	}
	l.evacuations = l.evacuations.WithOrder(evacuation.Zone{
		Name: x.Zone, Evacuated: x.On, Who: c.Who, When: c.When, ChangeKey: c.ChangeKey,
	})
	return Answer{Verdict: Accepted, Revision: l.evacuations.Revision}
}
