package asyncwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxPending is the maximum size of the lines not yet written, in bytes: a few
// seconds of output at the highest rate at which the processes log.
const maxPending = 256 << 10

// Writer is a writer that drops lines when its destination is too slow: with blocking
// writes, a process would stop forwarding packets when nothing reads its log.
type Writer struct {
	destination io.Writer
	mu          sync.Mutex
	pending     []byte
	dropped     int
	wake        chan struct{}
	done        chan struct{}
	closed      bool
}

// New returns an outlet and starts its writer goroutine, which Close stops.
func New(destination io.Writer) *Writer {
	o := &Writer{destination: destination, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues or drops one line; it never fails and never blocks on the destination.
func (o *Writer) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(line) > maxPending {
		o.dropped++
		return len(line), nil
	}
	o.pending = append(o.pending, line...)
	o.signal()
	return len(line), nil
}

func (o *Writer) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Close writes the pending lines and stops the writer goroutine.
func (o *Writer) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
	<-o.done
}

func (o *Writer) run() {
	defer close(o.done)
	for range o.wake {
		lines, closed := o.take()
		if n, err := o.destination.Write(lines); err != nil {
			// The destination may accept lines again later, such as a disk that was full;
			// the dropped lines are reported there then.
			o.addDropped(bytes.Count(lines[n:], []byte{'\n'}))
		}
		if closed {
			return
		}
	}
}

// addDropped counts lines that the destination did not accept.
func (o *Writer) addDropped(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropped += n
}

func (o *Writer) take() ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	lines := o.pending
	o.pending = nil
	if o.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"Count\":%d}\n", o.dropped)
		o.dropped = 0
	}
	return lines, o.closed
}
