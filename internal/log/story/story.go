package story

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// contextWindow is the time before the first and after the last matching line from which lines
	// about the state of processes are included. Callers retry for a few seconds, and the state
	// of a process changes within one or two seconds.
	contextWindow = 5 * time.Second
	// maxLines is the maximum number of printed lines.
	maxLines = 200
)

// Query selects a flow, an upstream or a revision; exactly one field is set.
type Query struct {
	// Caller is the address and port of the caller, as in its own log or a packet capture.
	Caller string
	// Incarnation is the incarnation of an upstream, as in the log lines of flows.
	Incarnation string
	// Revision is a configuration revision, as in the log lines of balancers and voters.
	Revision uint64
}

// EmptyError reports that no line matches the query.
type EmptyError struct{ Query Query }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("no line matches %+v; the event may be in the log of another process, "+
		"or only counted in a line 'decisions'", e.Query)
}

// Timeline holds the log lines of some processes, ordered by time.
type Timeline struct{ lines []line }

// Read returns the timeline with the lines of another log added.
func (t Timeline) Read(name string, r io.Reader) (Timeline, error) {
	more, err := readLines(name, r)
	if err != nil {
		return t, err
	}
	lines := slices.Concat(t.lines, more)
	slices.SortStableFunc(lines, func(a, b line) int { return a.At.Compare(b.At) })
	return Timeline{lines: lines}, nil
}

// Write writes the relevant lines in order of time, and a summary.
func (t Timeline) Write(w io.Writer, q Query) error {
	matched := lo.Filter(t.lines, func(l line, _ int) bool { return q.matches(l) })
	if len(matched) == 0 {
		return &EmptyError{Query: q}
	}
	shown := t.selectLines(matched, q)
	for i, l := range shown {
		if i == maxLines {
			if _, err := fmt.Fprintf(w, "… and %d more lines\n", len(shown)-i); err != nil {
				return fmt.Errorf("write timeline: %w", err)
			}
			break
		}
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	for _, c := range summarize(shown, matched, q) {
		if _, err := fmt.Fprintln(w, "=> "+c); err != nil {
			return fmt.Errorf("write timeline: %w", err)
		}
	}
	return nil
}

// matches reports whether a line is directly about the query.
func (q Query) matches(l line) bool {
	switch {
	case q.Caller != "":
		return l.Message == messageFlow && l.Caller == q.Caller
	case q.Incarnation != "":
		return l.Incarnation == q.Incarnation && l.Message != messageFlow
	default:
		return l.Revision == q.Revision && l.Message != messageFlow && l.Message != messageReadiness && l.Message != messageEvacuated
	}
}

// selectLines returns the matching lines and the lines that give their context.
func (t Timeline) selectLines(matched []line, q Query) []line {
	from, to := matched[0].At.Add(-contextWindow), matched[len(matched)-1].At.Add(contextWindow)
	processes, incarnations := map[string]bool{}, map[string]bool{}
	for _, l := range matched {
		processes[l.Process] = true
		if l.Incarnation != "" {
			incarnations[l.Incarnation] = true
		}
	}
	configurations := t.configurationsBefore(matched[0].At, processes)
	if q.Incarnation != "" {
		// An upstream runs for long; only the state of processes near its end is relevant.
		from = to.Add(-2 * contextWindow)
	}
	return lo.Filter(t.lines, func(l line, _ int) bool {
		inWindow := !l.At.Before(from) && !l.At.After(to)
		switch {
		case q.matches(l) || configurations[l.text]:
			return true
		case incarnations[l.Incarnation] && l.Message == messageAnnounced:
			return true
		case incarnations[l.Incarnation] && l.Message == messageSuspected:
			return inWindow
		default:
			return inWindow && processes[l.Process] && contextMessages[l.Message]
		}
	})
}

// contextMessages are the messages about the state of a process.
var contextMessages = map[string]bool{
	messageStart: true, messageLeaving: true, messageStopped: true, messageReadiness: true, messageVoterNoResponse: true,
	messageVoterRespondsAgain: true, messageReadOnly: true, messageDiskWorks: true, messageDropped: true,
	messageNotAccepted: true, messageRefused: true, messageVoterStatus: true,
	messageFollows: true, messageEvacuated: true,
}

// configurationsBefore returns the texts of the lines that report, for each process, the last
// configuration that came into force before a time.
func (t Timeline) configurationsBefore(at time.Time, processes map[string]bool) map[string]bool {
	latest := map[string]string{}
	for _, l := range t.lines {
		if l.Message == messageInForce && processes[l.Process] && l.At.Before(at) {
			latest[l.Process] = l.text
		}
	}
	return lo.SliceToMap(lo.Values(latest), func(text string) (string, bool) { return text, true })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
