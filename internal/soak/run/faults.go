package run

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"wasabideal/internal/soak/fleet"
	"wasabideal/internal/soak/proxy"
)

const (
	// faultMost is the longest that one fault lasts, and gapMost the longest
	// pause to the next; faults overlap.
	faultMost = 3 * time.Second
	gapMost   = 600 * time.Millisecond
)

// disturb injects faults in the order that the seed gives.
func (r *Run) disturb(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	// Faults of disks have a generator of their own, so that the others of a seed
	// that once failed stay the same.
	disks := rand.New(rand.NewPCG(r.settings.Seed, 2))
	lives := rand.New(rand.NewPCG(r.settings.Seed, 3))
	stalls := rand.New(rand.NewPCG(r.settings.Seed, 4))
	for end := time.Now().Add(r.settings.For); time.Now().Before(end) && ctx.Err() == nil; {
		r.fault(random)
		r.diskFault(disks)
		r.restartUpstream(lives)
		r.stall(stalls)
		time.Sleep(time.Duration(random.Int64N(int64(gapMost))))
		r.checkExits()
	}
	// Every fault ends within its time.
	time.Sleep(faultMost)
}

func (r *Run) noteFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault = time.Now().Add(faultMost)
	r.result.Faults++
}

func (r *Run) fault(random *rand.Rand) {
	r.noteFault()
	p := r.processes[r.names[random.IntN(len(r.names))]]
	x := r.proxies[random.IntN(len(r.proxies))]
	lasts := time.Duration(random.Int64N(int64(faultMost)))
	switch random.IntN(9) {
	case 0:
		p.Pause()
		time.AfterFunc(lasts, p.Resume)
	case 1:
		p.Resume()
		p.Kill()
		r.restart(p)
	case 2:
		p.Resume()
		if err := p.Stop(); err != nil {
			r.broken(PromiseExit, err.Error())
		}
		r.restart(p)
	case 3:
		p.Hangup()
	case 4:
		x.Reset()
	case 5, 6:
		kind := []proxy.Fault{proxy.Delay, proxy.Silence, proxy.OneWay, proxy.Refuse}[random.IntN(4)]
		x.Set(kind)
		time.AfterFunc(lasts, func() { x.Set(proxy.None) })
	case 7:
		r.replaceUpstream(random)
	case 8:
		r.wipe(r.processes[fmt.Sprint("voter-", random.IntN(voters))])
	}
}

// diskShare is how many faults there are for one of a disk.
const diskShare = 5

// diskFault lets a voter's disk refuse writes for a while, or end in the middle of a
// record that was never synced, as after a loss of power.
func (r *Run) diskFault(random *rand.Rand) {
	kind, voter := random.IntN(2*diskShare), random.IntN(voters)
	lasts := time.Duration(random.Int64N(int64(faultMost)))
	torn := make([]byte, 1+random.IntN(tornMost))
	p := r.processes[fmt.Sprint("voter-", voter)]
	switch kind {
	case 0:
		r.noteFault()
		p.FillDisk()
		time.AfterFunc(lasts, p.FreeDisk)
	case 1:
		r.noteFault()
		p.Resume()
		p.Kill()
		r.tear(p, torn)
		r.restart(p)
	}
}

// tornMost is the longest torn record in bytes.
const tornMost = 60

// tear appends the beginning of a record to the log of a voter that is down.
func (r *Run) tear(p *fleet.Process, torn []byte) {
	f, err := os.OpenFile(filepath.Join(r.settings.Folder, p.Name, logFile), os.O_APPEND|os.O_WRONLY, 0)
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		_, err = f.Write(torn)
		_ = f.Close()
	}
	if err != nil {
		r.broken(PromiseExit, err.Error())
	}
}

// logFile is the voters' log in their data folder.
const logFile = "log"

func (r *Run) restart(p *fleet.Process) {
	if err := p.Start(); err != nil {
		r.broken(PromiseExit, err.Error())
	}
}

// wipe empties a voter's disk, where the others hold everything: no more disks
// may be lost at once than the settings say.
func (r *Run) wipe(p *fleet.Process) {
	if !r.wiping.CompareAndSwap(false, true) {
		return
	}
	if !r.allRead() {
		r.wiping.Store(false)
		return
	}
	p.Resume()
	p.Kill()
	folder := filepath.Join(r.settings.Folder, p.Name)
	if err := os.RemoveAll(folder); err != nil {
		r.broken(PromiseExit, err.Error())
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		r.broken(PromiseExit, err.Error())
	}
	r.restart(p)
	// The next disk may go only once this one holds everything again: it has a
	// vote some heartbeats after it answers reads.
	r.goRun(func() {
		defer r.wiping.Store(false)
		for !r.over() && !r.allRead() {
			time.Sleep(readyEvery)
		}
		time.Sleep(calmAfter)
	})
}

// allRead says that all voters answer reads, and so are in touch.
func (r *Run) allRead() bool {
	for _, api := range r.apis {
		if !r.checkRead(api) {
			return false
		}
	}
	return true
}

// withdrawnFor is how long an upstream that has withdrawn serves its flows, as one does that gets
// no acknowledgement.
const withdrawnFor = 4 * time.Second

// replaceUpstream lets an upstream leave and another start at a new address.
func (r *Run) replaceUpstream(random *rand.Rand) {
	r.mu.Lock()
	old := r.backends[random.IntN(len(r.backends))]
	n := len(r.backends)
	r.mu.Unlock()
	if r.isGone(old.self.Incarnation) {
		return
	}
	z := n % r.settings.Zones
	b, err := r.startBackend(fmt.Sprintf("%s:%d", ip(kindUpstream, z, n), FabricPort), old.self.Service, r.zone(z))
	if err != nil {
		r.broken(PromiseExit, err.Error())
		return
	}
	r.mu.Lock()
	r.backends = append(r.backends, b)
	r.mu.Unlock()
	old.leave()
	time.AfterFunc(leavingFor, old.withdraw)
	// Until it ends, it serves its flows on.
	time.AfterFunc(leavingFor+withdrawnFor, func() {
		r.mu.Lock()
		ended := r.ended || r.gone[old.self.Incarnation]
		r.gone[old.self.Incarnation] = true
		r.mu.Unlock()
		if !ended {
			old.stop()
		}
	})
}

// restartShare is how many faults there are for one upstream that starts again.
const restartShare = 4

// restartUpstream lets an upstream crash and start again as the incarnation that it was.
func (r *Run) restartUpstream(random *rand.Rand) {
	r.mu.Lock()
	b := r.backends[random.IntN(len(r.backends))]
	r.mu.Unlock()
	if random.IntN(restartShare) != 0 || r.isGone(b.self.Incarnation) {
		return
	}
	r.noteFault()
	b.restart()
}

func (r *Run) checkExits() {
	for _, p := range r.processes {
		if err := p.Check(); err != nil {
			r.broken(PromiseExit, err.Error())
			r.restart(p)
		}
	}
}

// checkRecovery holds that after the faults the newest acknowledged
// configuration is read everywhere and requests are answered.
func (r *Run) checkRecovery() {
	end := time.Now().Add(settleFor)
	for !r.allRead() {
		if time.Now().After(end) {
			r.broken(PromiseRecover, "not all voters answer reads")
			break
		}
		time.Sleep(readyEvery)
	}
	before := r.answeredSoFar()
	r.mu.Lock()
	lost := r.unopened + r.unanswered
	r.mu.Unlock()
	time.Sleep(calmAfter / 2)
	r.mu.Lock()
	lost = r.unopened + r.unanswered - lost
	r.mu.Unlock()
	if answered := r.answeredSoFar() - before; answered < 10*max(lost, 1) {
		r.broken(PromiseRecover, fmt.Sprintf("%d requests answered and %d lost", answered, lost))
	}
	r.checkExits()
}
