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
	// maxFaultDuration is the longest duration of a fault. maxFaultGap is the longest pause before
	// the next fault starts; faults overlap.
	maxFaultDuration = 3 * time.Second
	maxFaultGap      = 600 * time.Millisecond
)

// injectFaults injects faults in the order that the seed determines.
func (r *Run) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.settings.Seed, 1))
	// Disk faults, restarts and stalls have their own random generators. A seed that failed before
	// these faults were added thus still produces the same other faults.
	disks := rand.New(rand.NewPCG(r.settings.Seed, 2))
	restarts := rand.New(rand.NewPCG(r.settings.Seed, 3))
	stalls := rand.New(rand.NewPCG(r.settings.Seed, 4))
	bursts := rand.New(rand.NewPCG(r.settings.Seed, 5))
	powerLosses := rand.New(rand.NewPCG(r.settings.Seed, 6))
	repeatedLosses := rand.New(rand.NewPCG(r.settings.Seed, 7))
	for end := time.Now().Add(r.settings.For); time.Now().Before(end) && ctx.Err() == nil; {
		r.injectFault(random)
		r.diskFault(disks)
		r.restartUpstream(restarts)
		r.stall(stalls)
		r.burst(bursts)
		r.losePower(powerLosses)
		r.loseDiskAgain(repeatedLosses)
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultGap))))
		r.checkExits()
	}
	// The last fault ends within maxFaultDuration.
	time.Sleep(maxFaultDuration)
}

func (r *Run) recordFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastFault = time.Now().Add(maxFaultDuration)
	r.result.Faults++
}

func (r *Run) injectFault(random *rand.Rand) {
	r.recordFault()
	p := r.processes[r.processNames[random.IntN(len(r.processNames))]]
	x := r.proxies[random.IntN(len(r.proxies))]
	duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
	switch random.IntN(9) {
	case 0:
		p.Pause()
		time.AfterFunc(duration, p.Resume)
	case 1:
		p.Resume()
		p.Kill()
		r.startProcess(p)
	case 2:
		p.Resume()
		if err := p.Stop(); err != nil {
			r.reportViolation(InvariantExit, err.Error())
		}
		r.startProcess(p)
	case 3:
		p.Hangup()
	case 4:
		x.Reset()
	case 5, 6:
		kind := []proxy.Fault{proxy.Delay, proxy.Silence, proxy.OneWay, proxy.Refuse}[random.IntN(4)]
		x.Set(kind)
		time.AfterFunc(duration, func() { x.Set(proxy.None) })
	case 7:
		r.replaceUpstream(random)
	case 8:
		r.replaceDisk(r.processes[fmt.Sprint("voter-", random.IntN(voters))])
	}
}

// faultsPerDiskFault is the mean number of faults of injectFault for each disk fault.
const faultsPerDiskFault = 5

// diskFault injects a fault in one of faultsPerDiskFault calls. The disk of a voter rejects writes
// for a while, or the voter restarts as after a power failure: its log then ends in the middle of an
// unsynced record.
func (r *Run) diskFault(random *rand.Rand) {
	kind, voter := random.IntN(2*faultsPerDiskFault), random.IntN(voters)
	duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
	torn := make([]byte, 1+random.IntN(maxTornBytes))
	p := r.processes[fmt.Sprint("voter-", voter)]
	switch kind {
	case 0:
		r.recordFault()
		p.FillDisk()
		time.AfterFunc(duration, p.FreeDisk)
	case 1:
		r.recordFault()
		p.Resume()
		p.Kill()
		r.appendTornRecord(p, torn)
		r.startProcess(p)
	}
}

// faultsPerPowerLoss is the mean number of faults of injectFault for each loss of power of all VMs.
const faultsPerPowerLoss = 15

// losePower acts in one of faultsPerPowerLoss calls: all processes end at once, right after a change was
// accepted, and start again.
func (r *Run) losePower(random *rand.Rand) {
	if random.IntN(faultsPerPowerLoss) != 0 {
		return
	}
	r.recordFault()
	r.publish()
	for _, name := range r.processNames {
		r.processes[name].Resume()
		r.processes[name].Kill()
	}
	for _, name := range r.processNames {
		r.startProcess(r.processes[name])
	}
}

// maxTornBytes is the maximum length of a torn record.
const maxTornBytes = 60

// appendTornRecord appends the beginning of a record to the log of a stopped voter.
func (r *Run) appendTornRecord(p *fleet.Process, torn []byte) {
	f, err := os.OpenFile(filepath.Join(r.settings.Folder, p.Name, logFile), os.O_APPEND|os.O_WRONLY, 0)
	if os.IsNotExist(err) {
		return
	}
	if err == nil {
		_, err = f.Write(torn)
		_ = f.Close()
	}
	if err != nil {
		r.reportViolation(InvariantExit, err.Error())
	}
}

// logFile is the name of the log in a voter's data folder.
const logFile = "log"

func (r *Run) startProcess(p *fleet.Process) {
	if err := p.Start(); err != nil {
		r.reportViolation(InvariantExit, err.Error())
	}
}

// replaceDisk restarts a voter with an empty disk. A majority of the voters must keep its data.
// Therefore only one voter at a time loses its disk, and only while all voters serve reads.
func (r *Run) replaceDisk(p *fleet.Process) {
	if r.losses.voter() != nil || !r.allVotersServeReads() {
		return
	}
	r.losses.begin(p)
	r.emptyDisk(p)
	// Another voter may lose its disk only once this one has all data again. The voter regains its
	// vote a few heartbeats after it serves reads.
	r.startGoroutine(func() {
		for n := 0; ; {
			for !r.hasEnded() && !r.allVotersServeReads() {
				time.Sleep(readinessInterval)
			}
			time.Sleep(faultSettleTime)
			if n = r.losses.end(n); n == 0 || r.hasEnded() {
				return
			}
		}
	})
}

// passesPerRepeatedLoss is the mean number of calls of injectFault for each repeated loss of a disk.
const passesPerRepeatedLoss = 3

// loseDiskAgain acts in one of passesPerRepeatedLoss calls: a voter that has lost its disk, and may not
// have its vote again yet, loses it once more.
func (r *Run) loseDiskAgain(random *rand.Rand) {
	again := random.IntN(passesPerRepeatedLoss) == 0
	if p := r.losses.voter(); p != nil && again {
		r.recordFault()
		r.losses.repeat()
		r.emptyDisk(p)
	}
}

// emptyDisk kills a voter, empties its disk and starts it.
func (r *Run) emptyDisk(p *fleet.Process) {
	p.Resume()
	p.Kill()
	folder := filepath.Join(r.settings.Folder, p.Name)
	if err := os.RemoveAll(folder); err != nil {
		r.reportViolation(InvariantExit, err.Error())
	}
	if err := os.MkdirAll(folder, 0o750); err != nil {
		r.reportViolation(InvariantExit, err.Error())
	}
	r.startProcess(p)
}

// allVotersServeReads reports whether each voter answers a read. To answer, a voter must reach a
// majority.
func (r *Run) allVotersServeReads() bool {
	for _, api := range r.voterAPIs {
		if !r.checkRead(api) {
			return false
		}
	}
	return true
}

// withdrawnServeTime is how long a withdrawn upstream still serves its flows, as if its withdrawal
// were not acknowledged.
const withdrawnServeTime = 4 * time.Second

// replaceUpstream drains an upstream and starts another one at a new address.
func (r *Run) replaceUpstream(random *rand.Rand) {
	r.mu.Lock()
	old := r.upstreams[random.IntN(len(r.upstreams))]
	n := len(r.upstreams)
	r.mu.Unlock()
	if r.isStopped(old.self.Incarnation) {
		return
	}
	z := n % r.settings.Zones
	u, err := r.startUpstream(fmt.Sprintf("%s:%d", ip(kindUpstream, z, n), FabricPort), old.self.Service, r.zone(z))
	if err != nil {
		r.reportViolation(InvariantExit, err.Error())
		return
	}
	r.mu.Lock()
	r.upstreams = append(r.upstreams, u)
	r.mu.Unlock()
	old.drain()
	time.AfterFunc(drainGrace, old.withdraw)
	// The old upstream serves its flows until it stops.
	time.AfterFunc(drainGrace+withdrawnServeTime, func() { r.stopUpstream(old) })
}

// faultsPerUpstreamRestart is the mean number of faults of injectFault for each upstream restart.
const faultsPerUpstreamRestart = 4

// restartUpstream acts in one of faultsPerUpstreamRestart calls: an upstream crashes and restarts with
// the same incarnation.
func (r *Run) restartUpstream(random *rand.Rand) {
	r.mu.Lock()
	u := r.upstreams[random.IntN(len(r.upstreams))]
	r.mu.Unlock()
	if random.IntN(faultsPerUpstreamRestart) != 0 || r.isStopped(u.self.Incarnation) {
		return
	}
	r.recordFault()
	u.restart()
}

func (r *Run) checkExits() {
	for _, p := range r.processes {
		if err := p.Check(); err != nil {
			r.reportViolation(InvariantExit, err.Error())
			r.startProcess(p)
		}
	}
}

// checkRecovery verifies the state after the last fault. Within recoveryTimeout, all voters must
// answer reads (see checkRead), and within inForceTimeout after that, all balancers must apply what was
// acknowledged. In the time after that, half of faultSettleTime, at least ten requests
// must be answered, and at least ten for each lost request or opening. No process may have exited.
func (r *Run) checkRecovery() {
	end := time.Now().Add(recoveryTimeout)
	for !r.allVotersServeReads() {
		if time.Now().After(end) {
			r.reportViolation(InvariantRecover, "not all voters answer reads")
			break
		}
		time.Sleep(readinessInterval)
	}
	r.checkInForce()
	before := r.answeredCount()
	r.mu.Lock()
	lost := r.unopened + r.unanswered
	r.mu.Unlock()
	time.Sleep(faultSettleTime / 2)
	r.mu.Lock()
	lost = r.unopened + r.unanswered - lost
	r.mu.Unlock()
	if answered := r.answeredCount() - before; answered < 10*max(lost, 1) {
		r.reportViolation(InvariantRecover, fmt.Sprintf("%d requests answered and %d lost", answered, lost))
	}
	r.checkExits()
}
