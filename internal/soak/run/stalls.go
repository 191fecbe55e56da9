package run

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The bounds of one stall: a process that waits for a processor, or a VM's.
const (
	stallLeast = 50 * time.Millisecond
	stallMost  = 1500 * time.Millisecond
	// stallShare is how many faults there are for one stall.
	stallShare = 3
	stallKinds = 5
)

// processor is what some parties of a run wait for while it is taken.
type processor struct{ taken sync.RWMutex }

// wait returns once there is a processor.
func (p *processor) wait() {
	p.taken.RLock()
	defer p.taken.RUnlock()
}

// take leaves those who wait without one for a time.
func (p *processor) take(lasts time.Duration) {
	p.taken.Lock()
	defer p.taken.Unlock()
	time.Sleep(lasts)
}

// stall lets one party wait for a processor, or all of a kind at once. Nobody is told of it.
func (r *Run) stall(random *rand.Rand) {
	kind, pick := random.IntN(stallKinds*stallShare), random.Int()
	lasts := stallLeast + time.Duration(random.Int64N(int64(stallMost-stallLeast)))
	if kind < stallKinds {
		r.noteFault()
	}
	switch kind {
	case 0:
		r.pauseFor(r.names[pick%len(r.names)], lasts)
	case 1:
		for _, name := range r.names {
			r.pauseFor(name, lasts)
		}
	case 2:
		r.goRun(func() { r.upstreams.take(lasts) })
	case 3:
		r.goRun(func() { r.callers.take(lasts) })
	case 4:
		r.mu.Lock()
		b := r.backends[pick%len(r.backends)]
		r.mu.Unlock()
		r.goRun(func() { b.processor.take(lasts) })
	}
}

func (r *Run) pauseFor(name string, lasts time.Duration) {
	p := r.processes[name]
	p.Pause()
	time.AfterFunc(lasts, p.Resume)
}

// burn keeps processors busy beside the run, until it is over.
func (r *Run) burn() {
	for !r.over() {
		for range 1 << 20 {
			continue
		}
	}
}

// network carries packets, some of them late or twice.
type network struct{}

const (
	// disturbedShare is how many packets there are for one that is disturbed, and lateMost how late
	// one is at most: less than what callers wait before they repeat an opening.
	disturbedShare = 50
	lateMost       = 40 * time.Millisecond
)

func (network) carry(send func()) {
	switch rand.IntN(2 * disturbedShare) {
	case 0:
		time.AfterFunc(rand.N(lateMost), send)
	case 1:
		send()
		time.AfterFunc(rand.N(lateMost), send)
	default:
		send()
	}
}
