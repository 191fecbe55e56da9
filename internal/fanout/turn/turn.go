package turn

import "time"

// answerFor is how long the voter whose turn it is has for its answer before another one is
// asked as well: some times what a voter of a quarter of a core takes while 200 balancers
// start.
const answerTimeout = 150 * time.Millisecond

// Turn is whose turn it is; the zero value has asked nobody.
type Sequencer struct {
	// holder is the voter that is asked, since a time.
	current string
	since   time.Time
	// over says that one voter has told all that a start takes.
	done bool
	// short are the voters that answered without.
	incomplete map[string]bool
}

// May says whether a voter that can be reached is to be asked now, and gives it the turn.
func (t *Sequencer) Allow(now time.Time, voter string) bool {
	if t.done || t.incomplete[voter] {
		return true
	}
	if t.current != "" && t.current != voter && now.Sub(t.since) < answerTimeout {
		return false
	}
	t.current, t.since = voter, now
	return true
}

// Answered notes that a voter answered, and whether it has told all: one that came back with
// an empty disk has not. It reports whether the start is over with that.
func (t *Sequencer) RecordAnswer(voter string, all bool) bool {
	if t.done {
		return false
	}
	t.release(voter)
	if t.done = all; !all {
		if t.incomplete == nil {
			t.incomplete = map[string]bool{}
		}
		t.incomplete[voter] = true
	}
	return all
}

// Failed notes that a voter did not answer.
func (t *Sequencer) RecordFailure(voter string) {
	t.release(voter)
	delete(t.incomplete, voter)
}

// Over says that one voter has told all that a start takes.
func (t *Sequencer) Done() bool { return t.done }

func (t *Sequencer) release(voter string) {
	if t.current == voter {
		t.current = ""
	}
}
