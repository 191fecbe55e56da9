package outlet_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
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
	require.Contains(t, got, fmt.Sprintf(`"@message":"log lines dropped","Count":%d}`, lines-kept), "what was dropped is counted")
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
