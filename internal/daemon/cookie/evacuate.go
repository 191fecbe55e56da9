package cookie

import (
	"wasabideal/internal/model/evacuation"
)

// Evacuations returns the evacuation orders in force.
func (b *Balancer) Evacuations() evacuation.Evacuations {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evacuations
}

// OnEvacuations applies evacuation orders if they are newer than those in force.
func (b *Balancer) OnEvacuations(address string, e evacuation.Evacuations) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.Revision <= b.evacuations.Revision {
		return
	}
	b.evacuations = e
	b.router.Evacuate(b.settings.Clock(), e)
	b.log.Info("zones evacuated", "Revision", e.Revision, "From", address, "Zones", e.EvacuatedZones())
	if b.fanout != nil {
		b.fanout.relay.NotifyNow()
	}
}
