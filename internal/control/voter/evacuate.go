package voter

import (
	"context"
	"crypto/rand"
	"time"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/evacuation"
)

// abandonCheckDelay is the delay before an evacuation order is proposed. A voter that resumes
// after a stall reads orders whose callers have timed out and may have sent a contrary order to
// another voter. Within the delay, the RPC server detects that the caller has closed the
// connection. The detection takes two scheduler rounds.
const abandonCheckDelay = 20 * time.Millisecond

// AbandonedError reports that the caller of an evacuation order disconnected before the order was proposed.
type AbandonedError struct{ Zone string }

func (e *AbandonedError) Error() string {
	return "the caller did not wait for its order on availability zone " + e.Zone + "; nothing was changed"
}

// Evacuate commits an evacuation order for an availability zone, on this voter or through the
// leader. While on is set, the zone's upstreams get no new flows. The order expects the zone's
// revision that this voter holds; if that is out of date, the verdict is Conflict and the caller
// may retry.
func (v *Voter) Evacuate(ctx context.Context, zone string, on bool, who string) (ledger.Answer, error) {
	held := v.Evacuations().Lookup(zone)
	select {
	case <-ctx.Done():
		return ledger.Answer{}, &AbandonedError{Zone: zone}
	case <-time.After(abandonCheckDelay):
	}
	change := ledger.Change{
		ChangeKey: rand.Text(), Who: who, ExpectRevision: held.Revision, Evacuate: &ledger.Evacuation{Zone: zone, On: on},
	}
	return callLeader(ctx, v, change, PublishMethod, v.publishLocal)
}

// Evacuations returns the evacuation orders that this voter has applied.
func (v *Voter) Evacuations() evacuation.Evacuations {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Evacuations()
}

func (v *Voter) evacuations(context.Context, empty) (evacuation.Evacuations, error) {
	return v.Evacuations(), nil
}
