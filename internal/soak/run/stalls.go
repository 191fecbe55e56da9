package run

import (
	"math/rand/v2"
	"sync"
	"time"
)

// A stall is a time in which processes, upstreams or callers get no CPU time.
const (
	minStall = 50 * time.Millisecond
	maxStall = 1500 * time.Millisecond
	// faultsPerStall is the mean number of faults of injectFault for each stall.
	faultsPerStall = 3
	stallKinds     = 5
)

// simulatedCPU is shared by goroutines of a run and can be withheld from them.
type simulatedCPU struct{ mu sync.RWMutex }

// wait blocks while the CPU is withheld.
func (p *simulatedCPU) wait() {
	p.mu.RLock()
	defer p.mu.RUnlock()
}

// withhold blocks all callers of wait for a duration.
func (p *simulatedCPU) withhold(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	time.Sleep(duration)
}

// stall starts a stall in one of faultsPerStall calls. The stall affects one process or upstream, or
// all processes, all upstreams or all callers. No process is notified.
func (r *Run) stall(random *rand.Rand) {
	kind, pick := random.IntN(stallKinds*faultsPerStall), random.Int()
	duration := minStall + time.Duration(random.Int64N(int64(maxStall-minStall)))
	if kind < stallKinds {
		r.recordFault()
	}
	switch kind {
	case 0:
		r.pauseFor(r.processNames[pick%len(r.processNames)], duration)
	case 1:
		for _, name := range r.processNames {
			r.pauseFor(name, duration)
		}
	case 2:
		r.startGoroutine(func() { r.upstreamsCPU.withhold(duration) })
	case 3:
		r.startGoroutine(func() { r.callersCPU.withhold(duration) })
	case 4:
		r.mu.Lock()
		u := r.upstreams[pick%len(r.upstreams)]
		r.mu.Unlock()
		r.startGoroutine(func() { u.cpu.withhold(duration) })
	}
}

func (r *Run) pauseFor(name string, duration time.Duration) {
	p := r.processes[name]
	p.Pause()
	time.AfterFunc(duration, p.Resume)
}

// burnCPU keeps one CPU busy until the run has ended.
func (r *Run) burnCPU() {
	for !r.hasEnded() {
		for range 1 << 20 {
			continue
		}
	}
}

// network delivers packets, some of them late or twice.
type network struct{}

const (
	// One in packetsPerImpairment packets is delayed or duplicated. maxPacketDelay is below the
	// time after which callers retransmit an opening.
	packetsPerImpairment = 50
	maxPacketDelay       = 40 * time.Millisecond
)

func (network) deliver(send func()) {
	switch rand.IntN(2 * packetsPerImpairment) {
	case 0:
		time.AfterFunc(rand.N(maxPacketDelay), send)
	case 1:
		send()
		time.AfterFunc(rand.N(maxPacketDelay), send)
	default:
		send()
	}
}
