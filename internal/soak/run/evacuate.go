package run

import (
	"context"
	"fmt"
	"time"
)

// An evacuation lasts longer than drainGrace, so that new flows are checked. The pause between
// evacuations is short, so that faults occur in every phase.
const (
	evacuationDuration = 2 * drainGrace
	evacuationPause    = 700 * time.Millisecond
)

// evacuateZones evacuates one zone after another, each for evacuationDuration.
func (r *Run) evacuateZones() {
	for n := 0; !r.hasEnded(); n++ {
		zone := r.zone(n)
		acknowledged := r.requestEvacuation(n, zone, true)
		r.mu.Lock()
		if acknowledged {
			r.evacuated[zone] = time.Now()
		}
		r.mu.Unlock()
		for until := time.Now().Add(evacuationDuration); time.Now().Before(until) && !r.hasEnded(); {
			time.Sleep(readinessInterval)
		}
		r.mu.Lock()
		delete(r.evacuated, zone)
		r.mu.Unlock()
		// Retries until acknowledged: the zone must serve again for the final recovery check.
		for !r.hasEnded() && !r.requestEvacuation(n, zone, false) {
			time.Sleep(readinessInterval)
		}
		time.Sleep(evacuationPause)
	}
}

// requestEvacuation starts or ends the evacuation of a zone. It sends the request to the voters in
// turn, beginning with voter n, until one acknowledges the request. The result is whether one did.
func (r *Run) requestEvacuation(n int, zone string, evacuate bool) bool {
	for try := range r.voterAPIs {
		api := r.voterAPIs[(n+try)%len(r.voterAPIs)]
		if r.settings.Platform.Evacuate(context.Background(), api, zone, evacuate) == nil {
			return true
		}
	}
	return false
}

// checkEvacuated verifies that no new flow reaches a zone that was evacuated more than drainGrace ago.
func (r *Run) checkEvacuated(zone string) {
	r.mu.Lock()
	at, evacuated := r.evacuated[zone]
	r.mu.Unlock()
	if evacuated && at.Add(drainGrace).Before(r.timeBoundsReference()) {
		r.reportViolation(InvariantEvacuated, fmt.Sprintf("%s evacuated at %s", zone, at))
	}
}
