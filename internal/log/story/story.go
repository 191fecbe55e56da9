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
	// around is how long before and after what was asked for other lines matter:
	// callers try for some seconds, and beliefs change within one or two.
	around = 5 * time.Second
	// linesMost bounds the lines that a story shows.
	linesMost = 200
)

// Question is what a story is asked for; one of the first three is set.
type Question struct {
	// Caller is the caller's address and port, as its own log or a capture shows it.
	Caller string
	// Incarnation is that of an upstream, as the lines of flows name it.
	Incarnation string
	// Revision is that of a configuration.
	Revision uint64
}

// EmptyError says that no line tells of what was asked for.
type EmptyError struct{ Question Question }

func (e *EmptyError) Error() string {
	return fmt.Sprintf("no line tells of %+v; its lines may be on a process whose log is missing here, "+
		"or among those that the lines 'decisions' only count", e.Question)
}

// Story is the lines of some processes.
type Story struct{ lines []line }

// Read returns the story with the lines of a further log.
func (s Story) Read(name string, r io.Reader) (Story, error) {
	more, err := readLines(name, r)
	if err != nil {
		return s, err
	}
	lines := slices.Concat(s.lines, more)
	slices.SortStableFunc(lines, func(a, b line) int { return a.At.Compare(b.At) })
	return Story{lines: lines}, nil
}

// Tell writes the lines that matter in order, and what they say together.
func (s Story) Tell(w io.Writer, q Question) error {
	asked := lo.Filter(s.lines, func(l line, _ int) bool { return q.asks(l) })
	if len(asked) == 0 {
		return &EmptyError{Question: q}
	}
	shown := s.matter(asked, q)
	for i, l := range shown {
		if i == linesMost {
			if _, err := fmt.Fprintf(w, "… and %d more lines\n", len(shown)-i); err != nil {
				return fmt.Errorf("write story: %w", err)
			}
			break
		}
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	for _, c := range causes(shown, asked, q) {
		if _, err := fmt.Fprintln(w, "=> "+c); err != nil {
			return fmt.Errorf("write story: %w", err)
		}
	}
	return nil
}

// asks says whether a line is about just what was asked for.
func (q Question) asks(l line) bool {
	switch {
	case q.Caller != "":
		return l.Message == messageFlow && l.Caller == q.Caller
	case q.Incarnation != "":
		return l.Incarnation == q.Incarnation && l.Message != messageFlow
	default:
		return l.Revision == q.Revision && l.Message != messageFlow && l.Message != messageReadiness && l.Message != messageEvacuated
	}
}

// matter returns the lines asked for and those that bear on them.
func (s Story) matter(asked []line, q Question) []line {
	from, to := asked[0].At.Add(-around), asked[len(asked)-1].At.Add(around)
	processes, incarnations := map[string]bool{}, map[string]bool{}
	for _, l := range asked {
		processes[l.Process] = true
		if l.Incarnation != "" {
			incarnations[l.Incarnation] = true
		}
	}
	held := s.heldBefore(asked[0].At, processes)
	if q.Incarnation != "" {
		// An upstream's life is long; only what was believed near its end matters.
		from = to.Add(-2 * around)
	}
	return lo.Filter(s.lines, func(l line, _ int) bool {
		within := !l.At.Before(from) && !l.At.After(to)
		switch {
		case q.asks(l) || held[l.text]:
			return true
		case incarnations[l.Incarnation] && l.Message == messageAnnounced:
			return true
		case incarnations[l.Incarnation] && l.Message == messageSuspected:
			return within
		default:
			return within && processes[l.Process] && beliefs[l.Message]
		}
	})
}

// beliefs are the messages that say what a process knew and whether it could act.
var beliefs = map[string]bool{
	messageStart: true, messageLeaving: true, messageStopped: true, messageReadiness: true, messageLost: true,
	messageRegained: true, messageReadOnly: true, messageDiskWorks: true, messageDropped: true,
	messageNotAccepted: true, messageRefused: true, messageStanding: true,
	messageFollows: true, messageEvacuated: true,
}

// heldBefore returns the line of each process on the configuration that it held.
func (s Story) heldBefore(at time.Time, processes map[string]bool) map[string]bool {
	last := map[string]string{}
	for _, l := range s.lines {
		if l.Message == messageInForce && processes[l.Process] && l.At.Before(at) {
			last[l.Process] = l.text
		}
	}
	return lo.SliceToMap(lo.Values(last), func(text string) (string, bool) { return text, true })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
