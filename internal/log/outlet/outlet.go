package outlet

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// bufferLimit bounds the lines that wait for the writer, in bytes: some
// seconds of lines at the rates that the processes log at most.
const bufferLimit = 256 << 10

// Outlet is a writer that drops lines when its destination is too slow: a
// process that waited for its log would stop forwarding because nobody reads it.
type Outlet struct {
	to      io.Writer
	mu      sync.Mutex
	waiting []byte
	dropped int
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// New returns an outlet and starts its writer, which Close ends.
func New(to io.Writer) *Outlet {
	o := &Outlet{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go o.run()
	return o
}

// Write takes one line; it never fails and never waits for the destination.
func (o *Outlet) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting)+len(line) > bufferLimit {
		o.dropped++
		return len(line), nil
	}
	o.waiting = append(o.waiting, line...)
	o.signal()
	return len(line), nil
}

func (o *Outlet) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Close writes what waits and ends the writer.
func (o *Outlet) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
	<-o.done
}

func (o *Outlet) run() {
	defer close(o.done)
	for range o.wake {
		lines, closed := o.take()
		if n, err := o.to.Write(lines); err != nil {
			// A disk that is full takes lines again later; there is nowhere to say
			// so before that.
			o.lose(bytes.Count(lines[n:], []byte{'\n'}))
		}
		if closed {
			return
		}
	}
}

// lose counts lines that the destination did not take.
func (o *Outlet) lose(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped += n
}

func (o *Outlet) take() ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := o.waiting
	o.waiting = nil
	if o.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"Count\":%d}\n", o.dropped)
		o.dropped = 0
	}
	return lines, o.closed
}
