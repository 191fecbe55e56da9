package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// stopTimeout is how long a planned stop may take before it counts as stuck.
const stopTimeout = 10 * time.Second

// fullAt is the size at which files cannot grow any more while a disk is full, in
// bytes: within the first records of a log.
const fullAt = 100

// ExitError says that a process ended by itself, or did not end when asked to.
type ExitError struct {
	Name   string
	Reason string
}

func (e *ExitError) Error() string { return e.Name + " " + e.Reason }

// Process is one running program.
type Process struct {
	Name string
	// Program, Arguments and Environment start it.
	Program     string
	Arguments   []string
	Environment []string
	// Log is the file that takes its output.
	Log     string
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// meant says that the process was told to end.
	meant bool
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.MkdirAll(filepath.Dir(p.Log), 0o750); err != nil {
		return fmt.Errorf("make log folder: %w", err)
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(p.Program, p.Arguments...)
	c.Env = append(os.Environ(), p.Environment...)
	c.Stdout, c.Stderr = log, log
	// The kernel ends the process if the soak itself is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.meant, p.ended = c, false, make(chan struct{})
	go func(ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(p.ended)
	return nil
}

func (p *Process) signal(s syscall.Signal, meant bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meant = p.meant || meant
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		// Only a process that is gone refuses these signals.
		return p.ended
	}
	return p.ended
}

// Kill ends the process at once.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL, true) }

// Stop asks for a planned stop and waits for it.
func (p *Process) Stop() error {
	ended := p.signal(syscall.SIGTERM, true)
	select {
	case <-ended:
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		return &ExitError{Name: p.Name, Reason: "did not stop within " + stopTimeout.String()}
	}
}

// Pause suspends the process until Resume.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP, false) }

// Resume lets a suspended process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Hangup tells the process to read its settings again.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP, false) }

// FillDisk lets the kernel refuse every write of the process beyond the first bytes
// of a file, as a disk does that fills up in the middle of a record.
func (p *Process) FillDisk() { p.limitFiles(fullAt) }

// FreeDisk lets the process write again.
func (p *Process) FreeDisk() { p.limitFiles(unix.RLIM_INFINITY) }

func (p *Process) limitFiles(bytes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	// It fails only where the process has just ended, whose next life has no limit.
	_ = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Check returns an ExitError where the process ended without being told to.
func (p *Process) Check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		if !p.meant {
			return &ExitError{Name: p.Name, Reason: "ended by itself: " + p.command.ProcessState.String()}
		}
	default:
	}
	return nil
}
