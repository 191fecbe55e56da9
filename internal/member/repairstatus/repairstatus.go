package repairstatus

import (
	"time"

	"wasabideal/internal/member/swim"
)

// flagRepairing is the payload of a balancer that creates replicas; other balancers send an
// empty payload.
const flagRepairing = 1

// Tracker tracks the balancers that report repairs in progress. It is not safe for
// concurrent use.
type Tracker struct {
	repairing func() bool
	expiry    time.Duration
	reported  map[string]time.Time
}

// New returns a Tracker. Its payloads report the result of repairing; reports of other balancers
// expire after the duration expiry.
func New(repairing func() bool, expiry time.Duration) *Tracker {
	return &Tracker{repairing: repairing, expiry: expiry, reported: map[string]time.Time{}}
}

// AnyRepairing reports whether another balancer is known to create replicas. It first deletes
// expired reports.
func (t *Tracker) AnyRepairing(now time.Time) bool {
	for name, at := range t.reported {
		if now.Sub(at) > t.expiry {
			delete(t.reported, name)
		}
	}
	return len(t.reported) > 0
}

// Payload returns the payload that reports whether this balancer creates replicas.
func (t *Tracker) Payload(time.Time, int) []byte {
	if t.repairing() {
		return []byte{flagRepairing}
	}
	return nil
}

// HandlePayload records the payload of another balancer.
func (t *Tracker) HandlePayload(now time.Time, from swim.Member, payload []byte) {
	if len(payload) == 1 && payload[0] == flagRepairing {
		t.reported[from.Name] = now
		return
	}
	delete(t.reported, from.Name)
}
