package router

import (
	"time"

	"wasabideal/internal/zoneload/snapshot"
)

// SetLoad sets the latest view of the load of all zones. An older view than the one in force is
// ignored.
func (r *Router) SetLoad(_ time.Time, s snapshot.Snapshot) {
	if s.Version < r.zoneLoad.Version {
		return
	}
	r.zoneLoad = s
	r.zoneLoadUpdates++
}
