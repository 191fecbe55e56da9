package turn

import "time"

// answerFor is how long the voter whose turn it is has for its answer before another one is
// asked as well: some times what a voter of a quarter of a core takes while 200 balancers
// start.
const answerFor = 150 * time.Millisecond

// Turn is whose turn it is; the zero value has asked nobody.
type Turn struct {
	// holder is the voter that is asked, since a time.
	holder string
	since  time.Time
	// over says that one voter has told all that a start takes.
	over bool
	// short are the voters that answered without.
	short map[string]bool
}

// May says whether a voter that can be reached is to be asked now, and gives it the turn.
func (t *Turn) May(now time.Time, voter string) bool {
	if t.over || t.short[voter] {
		return true
	}
	if t.holder != "" && t.holder != voter && now.Sub(t.since) < answerFor {
		return false
	}
	t.holder, t.since = voter, now
	return true
}

// Answered notes that a voter answered, and whether it has told all: one that came back with
// an empty disk has not. It reports whether the start is over with that.
func (t *Turn) Answered(voter string, all bool) bool {
	if t.over {
		return false
	}
	t.release(voter)
	if t.over = all; !all {
		if t.short == nil {
			t.short = map[string]bool{}
		}
		t.short[voter] = true
	}
	return all
}

// Failed notes that a voter did not answer.
func (t *Turn) Failed(voter string) {
	t.release(voter)
	delete(t.short, voter)
}

// Over says that one voter has told all that a start takes.
func (t *Turn) Over() bool { return t.over }

func (t *Turn) release(voter string) {
	if t.holder == voter {
		t.holder = ""
	}
}
