package asyncwriter_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/log/asyncwriter"
)

// blockingDestination is a log destination that blocks while its lock is held.
type blockingDestination struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *blockingDestination) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// A log collector stops reading, and the pipe to the collector fills up. Writing a line then
// blocks, and a balancer that waited for the write forwarded no packets for minutes.
func TestWriteDoesNotBlockOnStuckReader(t *testing.T) {
	reader := &blockingDestination{}
	reader.mu.Lock()
	w := asyncwriter.New(reader)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 1000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			n, err := w.Write(line)
			if n != len(line) || err != nil {
				panic(fmt.Sprint("write of a line failed: ", n, err))
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		require.Fail(t, "writing blocks on the reader")
	}
	reader.mu.Unlock()
	w.Close()
	got := reader.got.String()
	kept := strings.Count(got, "xxx\n")
	require.Less(t, kept, 600, "pending lines are bounded")
	require.Greater(t, kept, 200)
	require.Equal(t, lines-kept, dropped(t, got), "dropped lines are counted")
}

// dropped returns the sum of the dropped lines that a log reports, possibly in several lines.
func dropped(t *testing.T, log string) int {
	sum := 0
	for _, m := range regexp.MustCompile(`"log lines dropped","Count":(\d+)}`).FindAllStringSubmatch(log, -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// closedPipe is a log destination whose reader has closed the pipe.
type closedPipe struct{}

func (closedPipe) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestWriteDoesNotFailOnClosedPipe(t *testing.T) {
	w := asyncwriter.New(closedPipe{})
	for range 1000 {
		_, err := w.Write(make([]byte, 1000))
		require.NoError(t, err)
	}
	w.Close()
}

// fullDisk is a file on a disk that is full while rejecting is set.
type fullDisk struct {
	bytes.Buffer
	rejecting atomic.Bool
	rejected  chan struct{}
}

func (f *fullDisk) Write(b []byte) (int, error) {
	if f.rejecting.Load() {
		f.rejected <- struct{}{}
		return 0, syscall.ENOSPC
	}
	return f.Buffer.Write(b)
}

// The disk for a log is full for some seconds. The writer goroutine returned at the first error,
// and the process logged nothing until its restart.
func TestLoggingResumesAfterFullDisk(t *testing.T) {
	f := &fullDisk{rejected: make(chan struct{})}
	f.rejecting.Store(true)
	w := asyncwriter.New(f)
	_, err := w.Write([]byte("lost\n"))
	require.NoError(t, err)
	<-f.rejected
	f.rejecting.Store(false)
	_, err = w.Write([]byte("kept\n"))
	require.NoError(t, err)
	w.Close()
	require.Contains(t, f.String(), "kept\n")
	require.Contains(t, f.String(), `"Count":1}`)
}
