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

// Writer is a writer that drops lines when its destination is too slow. If writes blocked, a
// process whose log nobody reads would stop forwarding packets.
type Writer struct {
	destination io.Writer
	mu          sync.Mutex
	pending     []byte
	dropped     int
	wake        chan struct{}
	done        chan struct{}
	closed      bool
}

// New returns a Writer and starts its writer goroutine, which Close stops.
func New(destination io.Writer) *Writer {
	w := &Writer{destination: destination, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues or drops one line; it never fails and never blocks on the destination.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.signal()
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Close writes the pending lines and stops the writer goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		lines, closed := w.take()
		if n, err := w.destination.Write(lines); err != nil {
			// The destination, such as a full disk, may accept lines again later. The number of
			// dropped lines is written then.
			w.addDropped(bytes.Count(lines[n:], []byte{'\n'}))
		}
		if closed {
			return
		}
	}
}

// addDropped counts lines that the destination did not accept.
func (w *Writer) addDropped(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += n
}

func (w *Writer) take() ([]byte, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lines := w.pending
	w.pending = nil
	if w.dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"Count\":%d}\n", w.dropped)
		w.dropped = 0
	}
	return lines, w.closed
}
