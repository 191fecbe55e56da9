package run

import (
	"sync"

	"wasabideal/internal/soak/fleet"
)

// diskLosses records which voter has lost its disk and does not have its data again.
type diskLosses struct {
	mu      sync.Mutex
	current *fleet.Process
	// repeated is the number of further losses of the current voter.
	repeated int
}

func (d *diskLosses) voter() *fleet.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

func (d *diskLosses) begin(p *fleet.Process) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current, d.repeated = p, 0
}

func (d *diskLosses) repeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.repeated++
}

// end records that the voter has its data again, unless it has lost its disk again since a call that
// returned seen. It returns 0 once it is recorded, otherwise the number of further losses.
func (d *diskLosses) end(seen int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repeated != seen {
		return d.repeated
	}
	d.current = nil
	return 0
}
