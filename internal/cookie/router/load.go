package router

import (
	"time"

	"wasabideal/internal/zoneload/snapshot"
)

// SetLoad sets the latest view of the load of all zones.
func (r *Router) SetLoad(now time.Time, s snapshot.Snapshot) {
	r.zoneLoad = s
	r.updateShares(now)
}
