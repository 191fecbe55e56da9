package outlet_test

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

	"wasabideal/internal/log/outlet"
)

// stuck is a reader that stops reading until it is let go.
type stuck struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

// Symptom: a balancer forwarded nothing for minutes.
// Events: what collects its log stops reading; the pipe between them fills up.
// Cause: writing a line waited for the reader.
func TestReaderThatStopsHoldsNobodyUp(t *testing.T) {
	reader := &stuck{}
	reader.mu.Lock()
	o := outlet.New(reader)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 1000
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range lines {
			n, err := o.Write(line)
			if n != len(line) || err != nil {
				panic(fmt.Sprint("a line was not taken: ", n, err))
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(20 * time.Second):
		require.Fail(t, "writing waits for the reader")
	}
	reader.mu.Unlock()
	o.Close()
	got := reader.got.String()
	kept := strings.Count(got, "xxx\n")
	require.Less(t, kept, 600, "what waits is bounded")
	require.Greater(t, kept, 200)
	require.Equal(t, lines-kept, dropped(t, got), "what was dropped is counted")
}

// dropped adds up the lines that a log says are missing; it may say so more than
// once.
func dropped(t *testing.T, log string) int {
	sum := 0
	for _, m := range regexp.MustCompile(`"log lines dropped","Count":(\d+)}`).FindAllStringSubmatch(log, -1) {
		n, err := strconv.Atoi(m[1])
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// closed is a reader that has gone away.
type closed struct{}

func (closed) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestReaderThatIsGoneHoldsNobodyUp(t *testing.T) {
	o := outlet.New(closed{})
	for range 1000 {
		_, err := o.Write(make([]byte, 1000))
		require.NoError(t, err)
	}
	o.Close()
}

// full is a file on a disk that is full at first.
type full struct {
	bytes.Buffer
	refusing atomic.Bool
	refused  chan struct{}
}

func (f *full) Write(b []byte) (int, error) {
	if f.refusing.Load() {
		f.refused <- struct{}{}
		return 0, syscall.ENOSPC
	}
	return f.Buffer.Write(b)
}

// Symptom: a process logged nothing for the rest of its life.
// Events: the disk that takes its log is full for some seconds.
// Cause: the writer ended at the first error.
func TestLogGoesOnOnceTheDiskTakesLinesAgain(t *testing.T) {
	f := &full{refused: make(chan struct{})}
	f.refusing.Store(true)
	o := outlet.New(f)
	_, err := o.Write([]byte("lost\n"))
	require.NoError(t, err)
	<-f.refused
	f.refusing.Store(false)
	_, err = o.Write([]byte("kept\n"))
	require.NoError(t, err)
	o.Close()
	require.Contains(t, f.String(), "kept\n")
	require.Contains(t, f.String(), `"Count":1}`)
}
