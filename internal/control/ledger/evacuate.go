package ledger

import (
	"wasabideal/internal/model/evacuation"
)

// Evacuation is an order for one availability zone.
type Evacuation struct {
	_    struct{} `cbor:",toarray"`
	Zone string
	// On empties the zone: its upstreams get no new flows. Off takes it back.
	On bool
}

// Evacuations returns the orders in force for availability zones.
func (l *Ledger) Evacuations() evacuation.Evacuations { return l.evacuations }

// evacuate takes an order for a zone. It counts only where nothing was ordered for the zone
// since the voter that took it knew of the last order: operators' calls carry no number, and
// one that waited in a voter that stood still, or behind a partition, would otherwise undo a
// later one. An order for what is so already changes nothing and is accepted, whatever it was
// made for, since operators send an order again whose answer was lost.
func (l *Ledger) evacuate(c Change) Answer {
	x := *c.Evacuate
	held := l.evacuations.Of(x.Zone)
	if err := l.evacuations.Check(x.Zone); err != nil {
		return Answer{Verdict: Invalid, Revision: held.Revision, Reason: err.Error()}
	}
	if x.On == held.Evacuated {
		return Answer{Verdict: Superseded, Revision: held.Revision}
	}
	if c.ExpectRevision != held.Revision {
		return Answer{Verdict: Conflict, Revision: held.Revision, WinnerKey: held.ChangeKey, WinnerWho: held.Who}
	}
	l.evacuations = l.evacuations.With(evacuation.Zone{
		Name: x.Zone, Evacuated: x.On, Who: c.Who, When: c.When, ChangeKey: c.ChangeKey,
	})
	return Answer{Verdict: Accepted, Revision: l.evacuations.Revision}
}
