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

// stopTimeout is the time after which a process that was asked to stop is killed.
const stopTimeout = 10 * time.Second

// fullDiskFileSize is the maximum file size in bytes while a full disk is simulated: writes fail
// within the first records of a log.
const fullDiskFileSize = 100

// ExitError reports a process that exited unexpectedly or did not stop on request.
type ExitError struct {
	Name   string
	Reason string
}

func (e *ExitError) Error() string { return e.Name + " " + e.Reason }

// Process is a program that runs as a child process.
type Process struct {
	Name string
	// Program and Arguments are the command. Environment holds variables that are added to its
	// environment.
	Program     string
	Arguments   []string
	Environment []string
	// Log is the file to which standard output and standard error are appended.
	Log     string
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// exitExpected is set if Stop or Kill was called since the last Start.
	exitExpected bool
}

// Start starts the process, also again after it exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := os.MkdirAll(filepath.Dir(p.Log), 0o750); err != nil {
		return fmt.Errorf("create log folder: %w", err)
	}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	c := exec.Command(p.Program, p.Arguments...)
	c.Env = append(os.Environ(), p.Environment...)
	c.Stdout, c.Stderr = log, log
	// The kernel kills the process if the soak test itself is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.exitExpected, p.exited = c, false, make(chan struct{})
	go func(exited chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(exited)
	}(p.exited)
	return nil
}

func (p *Process) signal(s syscall.Signal, exitExpected bool) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || exitExpected
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		// These signals fail only for a process that has exited.
		return p.exited
	}
	return p.exited
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() { <-p.signal(syscall.SIGKILL, true) }

// Stop sends SIGTERM and waits until the process has exited. After stopTimeout, Stop kills the process
// and returns an ExitError.
func (p *Process) Stop() error {
	exited := p.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		return &ExitError{Name: p.Name, Reason: "did not stop within " + stopTimeout.String()}
	}
}

// Pause suspends the process until Resume is called.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP, false) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT, false) }

// Hangup sends SIGHUP; the process then reloads its settings.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP, false) }

// FillDisk makes writes beyond fullDiskFileSize fail, as on a disk that fills up in the middle of
// a record.
func (p *Process) FillDisk() { p.limitFileSize(fullDiskFileSize) }

// FreeDisk removes the limit that FillDisk set.
func (p *Process) FreeDisk() { p.limitFileSize(unix.RLIM_INFINITY) }

func (p *Process) limitFileSize(bytes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	// The call fails only if the process has just exited; the next start has no limit.
	_ = unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Check returns an ExitError if the process exited unexpectedly.
func (p *Process) Check() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		if !p.exitExpected {
			return &ExitError{Name: p.Name, Reason: "ended by itself: " + p.command.ProcessState.String()}
		}
	default:
	}
	return nil
}
