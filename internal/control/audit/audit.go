package audit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/disk/folder"
)

const (
	file = "audit.jsonl"
	// keptLines is the number of recent lines that stay available to Last.
	keptLines = 1000
	// Refused is the verdict on a call with a missing or wrong token.
	Refused ledger.Verdict = "Refused"
)

// Line is one line of the trail; Index is the log index of the change, 0 for a denied call.
type Line struct {
	Index uint64
	ledger.Record
}

// Trail appends lines; it is safe for concurrent use.
type Trail struct {
	mu    sync.Mutex
	log   hclog.Logger
	file  folder.File
	lines []Line
	index uint64
}

// Open reads the existing trail of a folder, so that no change is written again
// after a restart.
func Open(f folder.Folder, log hclog.Logger) (*Trail, error) {
	b, err := f.ReadFile(file)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	t := &Trail{log: log}
	// A crash may leave an incomplete line at the end.
	completeLen := bytes.LastIndexByte(b, '\n') + 1
	for _, line := range bytes.Split(bytes.TrimSpace(b[:completeLen]), []byte("\n")) {
		var l Line
		if json.Unmarshal(line, &l) == nil {
			t.addLine(l)
		}
	}
	if t.file, err = f.Append(file, int64(completeLen)); err != nil {
		return nil, fmt.Errorf("open audit trail: %w", err)
	}
	return t, nil
}

func (t *Trail) addLine(l Line) {
	t.index = max(t.index, l.Index)
	t.lines = append(t.lines, l)
	if len(t.lines) > 2*keptLines {
		t.lines = append([]Line(nil), t.lines[keptLines:]...)
	}
}

// Write appends a change unless the trail already contains it.
func (t *Trail) Write(index uint64, r ledger.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if index > t.index {
		t.append(Line{Index: index, Record: r})
	}
}

// WriteDenied appends a call that was rejected for a missing or wrong token.
func (t *Trail) WriteDenied(now time.Time, method string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.append(Line{Record: ledger.Record{When: now, Verdict: Refused, Reason: method}})
}

func (t *Trail) append(l Line) {
	t.addLine(l)
	b, err := json.Marshal(l)
	if err == nil {
		_, err = t.file.Write(append(b, '\n'))
	}
	if err != nil {
		t.log.Error("failed to write audit trail", "Error", err)
	}
}

// Last returns up to n lines, oldest first.
func (t *Trail) Last(n int) []Line {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Line(nil), t.lines[max(len(t.lines)-n, 0):]...)
}
