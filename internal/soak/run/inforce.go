package run

import (
	"fmt"
	"time"
)

// inForceTimeout is the bound on configurations in the settings of the processes (ApplyMs).
const inForceTimeout = 3 * time.Second

// checkInForce verifies that each balancer applies the acknowledged configuration within inForceTimeout.
func (r *Run) checkInForce() {
	r.mu.Lock()
	acknowledged := r.acknowledged
	r.mu.Unlock()
	end := time.Now().Add(inForceTimeout)
	for _, b := range r.balancers {
		revision := r.metrics(b)["revision"]
		for ; uint64(revision) < acknowledged && time.Now().Before(end); revision = r.metrics(b)["revision"] {
			time.Sleep(readinessInterval)
		}
		if uint64(revision) < acknowledged {
			r.reportViolation(InvariantInForce, fmt.Sprintf("%s applies %d where %d was acknowledged", b, revision, acknowledged))
		}
	}
}
