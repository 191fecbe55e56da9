package voter

import (
	"context"
	"crypto/rand"
	"time"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/evacuation"
)

// callerCheck is how long an order for a zone waits before it is proposed. A voter that stood
// still finds orders in its socket whose callers have long given up and ordered otherwise; by
// then the server has seen that such a caller's end is closed. Once the voter runs again that
// takes two turns of the scheduler.
const callerCheck = 20 * time.Millisecond

// AbandonedError says that the caller of an order did not wait for it.
type AbandonedError struct{ Zone string }

func (e *AbandonedError) Error() string {
	return "the caller did not wait for its order on availability zone " + e.Zone + "; nothing was changed"
}

// Evacuate accepts an order for an availability zone, here or at the leader: with on the
// zone's upstreams get no new flows, else they do again. The order is for the state of the
// zone as this voter knows it now; where that is out of date the answer is a Conflict and the
// caller may order again.
func (v *Voter) Evacuate(ctx context.Context, zone string, on bool, who string) (ledger.Answer, error) {
	held := v.Evacuations().Of(zone)
	select {
	case <-ctx.Done():
		return ledger.Answer{}, &AbandonedError{Zone: zone}
	case <-time.After(callerCheck):
	}
	change := ledger.Change{
		ChangeKey: rand.Text(), Who: who, ExpectRevision: held.Revision, Evacuate: &ledger.Evacuation{Zone: zone, On: on},
	}
	return atLeader(ctx, v, change, PublishMethod, v.publishHere)
}

// Evacuations returns the orders for availability zones as far as this voter knows.
func (v *Voter) Evacuations() evacuation.Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Evacuations()
}

func (v *Voter) evacuationsCall(context.Context, empty) (evacuation.Evacuations, error) {
	return v.Evacuations(), nil
}
