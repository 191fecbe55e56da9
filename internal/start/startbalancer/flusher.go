package startbalancer

import (
	"bufio"
	"context"
	"os"
	"sync"
	"time"
)

// flusher is a buffered writer: one goroutine writes to the buffer, and another goroutine flushes
// the buffer.
type flusher struct {
	mu     sync.Mutex
	buffer *bufio.Writer
}

// Write appends to the buffer.
func (f *flusher) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.Write(b)
}

func (f *flusher) run(ctx context.Context, file *os.File) {
	t := time.NewTicker(traceFlushInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		f.mu.Lock()
		_ = f.buffer.Flush()
		f.mu.Unlock()
	}
	_ = file.Close()
}
