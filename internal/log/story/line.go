package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// lineLimit bounds one line in bytes; longer ones are no lines of ours.
const lineLimit = 1 << 20

// The messages that a story is made of.
const (
	messageStart        = "start"
	messageLeaving      = "leaving"
	messageStopped      = "stopped"
	messageReadiness    = "readiness"
	messageFlow         = "flow"
	messageAnnounced    = "upstream announced"
	messageSuspected    = "upstream suspected"
	messageInForce      = "configuration in force"
	messageApplied      = "change applied"
	messageAcknowledged = "configuration acknowledged"
	messageNotAccepted  = "configuration not accepted"
	messageRefused      = "configuration refused"
	messageStanding     = "standing"
	messageLost         = "voter does not answer"
	messageRegained     = "voter answers again"
	messageReadOnly     = "voter is read-only now"
	messageDiskWorks    = "disk works again"
	messageDropped      = "log lines dropped"
	messageFollows      = "follows"
)

// wireLine is a log line as the processes write it.
type wireLine struct {
	Message     string    `json:"@message"`
	Process     string    `json:"@module"`
	At          time.Time `json:"@timestamp"`
	Caller      string
	Address     string
	Action      string
	Reason      string
	Incarnation string
	Service     string
	State       string
	Verdict     string
	Copy        uint32
	Revision    uint64
}

// line is one log line with the text that it came from.
type line struct {
	wireLine
	text string
}

// NoLinesError says that a file holds no log lines.
type NoLinesError struct{ Name string }

func (e *NoLinesError) Error() string {
	return fmt.Sprintf("%s holds no log lines; pass files of JSON lines as the processes write them", e.Name)
}

// readLines reads all log lines; what stands before a line's brace, as a collector
// may put it there, is passed over, and so are lines that are none.
func readLines(name string, r io.Reader) ([]line, error) {
	var lines []line
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineLimit)
	for s.Scan() {
		begin := bytes.IndexByte(s.Bytes(), '{')
		if begin < 0 {
			continue
		}
		text := string(s.Bytes()[begin:])
		var w wireLine
		if err := json.Unmarshal([]byte(text), &w); err != nil || w.Message == "" {
			continue
		}
		lines = append(lines, line{wireLine: w, text: text})
	}
	if err := s.Err(); err != nil && !errors.Is(err, bufio.ErrTooLong) {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(lines) == 0 {
		return nil, &NoLinesError{Name: name}
	}
	return lines, nil
}

// timeFormat shows times of one day to a tenth of a millisecond.
const timeFormat = "15:04:05.0000"

// String shows the line for a reader: when, where, what, and its other fields.
func (l line) String() string {
	var rest map[string]json.RawMessage
	if err := json.Unmarshal([]byte(l.text), &rest); err != nil {
		return l.text
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-18s %s", l.At.Format(timeFormat), l.Process, l.Message)
	for _, k := range sortedKeys(rest) {
		if !strings.HasPrefix(k, "@") {
			fmt.Fprintf(&b, "  %s=%s", k, bytes.Trim(rest[k], `"`))
		}
	}
	return b.String()
}
