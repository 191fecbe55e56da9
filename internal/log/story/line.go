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

// Messages of the log lines that are evaluated.
const (
	messageStart              = "start"
	messageLeaving            = "leaving"
	messageStopped            = "stopped"
	messageReadiness          = "readiness"
	messageFlow               = "flow"
	messageAnnounced          = "upstream announced"
	messageSuspected          = "upstream suspected"
	messageInForce            = "configuration in force"
	messageApplied            = "change applied"
	messageAcknowledged       = "configuration acknowledged"
	messageNotAccepted        = "configuration not accepted"
	messageRefused            = "configuration refused"
	messageVoterStatus        = "standing"
	messageVoterNoResponse    = "voter does not answer"
	messageVoterRespondsAgain = "voter answers again"
	messageReadOnly           = "voter is read-only now"
	messageDiskWorks          = "disk works again"
	messageDropped            = "log lines dropped"
	messageFollows            = "follows"
	messageEvacuated          = "zones evacuated"
)

// logLine is a log line in the form that processes write.
type logLine struct {
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
	// Zone, LoadVersion and LoadAge are set for a flow that the load of all zones decided, Use and
	// SlotLimit if it was rejected, and LinkDelay for one that the VM's link could not carry.
	Zone           string
	Use, SlotLimit float64
	LoadVersion    uint64
	LoadAge        string
	LinkDelay      string
}

// line is a decoded log line with its text.
type line struct {
	logLine
	text string
}

// NoLinesError reports a file without log lines.
type NoLinesError struct{ Name string }

func (e *NoLinesError) Error() string {
	return fmt.Sprintf("%s contains no log lines; pass the JSON logs of balancers and voters", e.Name)
}

// readLines decodes all log lines of a file and skips other text.
func readLines(name string, r io.Reader) ([]line, error) {
	var all []line
	err := lines.Read(r, func(text []byte) {
		var w logLine
		if err := json.Unmarshal(text, &w); err == nil && w.Message != "" {
			all = append(all, line{logLine: w, text: string(text)})
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

// timeFormat prints the time of day with tenths of a millisecond.
const timeFormat = "15:04:05.0000"

// String formats the line as time, process, message and other fields.
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
