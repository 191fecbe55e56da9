package story

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"wasabideal/internal/log/lines"
)

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
	messageEvacuated    = "zones evacuated"
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

// readLines reads all log lines.
func readLines(name string, r io.Reader) ([]line, error) {
	var all []line
	err := lines.Read(r, func(text []byte) {
		var w wireLine
		if err := json.Unmarshal(text, &w); err == nil && w.Message != "" {
			all = append(all, line{wireLine: w, text: string(text)})
		}
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(all) == 0 {
		return nil, &NoLinesError{Name: name}
	}
	return all, nil
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
