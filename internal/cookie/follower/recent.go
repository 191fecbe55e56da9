package follower

import "wasabideal/internal/cookie/allocation"

// startingFor is how long a follower requests the upstreams that its sources have known for a short time
// only: until it has known every upstream for allocation.MaxSettling itself.
const startingFor = 2 * allocation.MaxSettling

// starting reports whether the follower started within startingFor.
func (f *Follower) starting() bool { return f.settings.Clock().Sub(f.started) < startingFor }
