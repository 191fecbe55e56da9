package bootstrap

import "time"

// responseTimeout is how long the polled voter may take before another voter is polled as well.
// It is several times what a voter on a quarter of a core takes while 200 balancers start.
const responseTimeout = 150 * time.Millisecond

// Sequencer decides which voter is polled during startup. The zero value is ready for use.
type Sequencer struct {
	// current is the polled voter, and since is the time of its poll.
	current string
	since   time.Time
	// done is set once a voter has sent a complete state.
	done bool
	// incomplete holds the voters whose response was incomplete.
	incomplete map[string]bool
}

// Allow reports whether a connected voter is to be polled now. During startup, an allowed
// voter becomes the current one, unless its earlier response was incomplete.
func (t *Sequencer) Allow(now time.Time, voter string) bool {
	if t.done || t.incomplete[voter] {
		return true
	}
	if t.current != "" && t.current != voter && now.Sub(t.since) < responseTimeout {
		return false
	}
	t.current, t.since = voter, now
	return true
}

// RecordResponse records that a voter answered, and whether its state was complete. The state of
// a voter with an empty disk is incomplete. The result reports whether this response ends the
// startup.
func (t *Sequencer) RecordResponse(voter string, complete bool) bool {
	if t.done {
		return false
	}
	t.release(voter)
	if t.done = complete; !complete {
		if t.incomplete == nil {
			t.incomplete = map[string]bool{}
		}
		t.incomplete[voter] = true
	}
	return complete
}

// RecordFailure records that a voter did not answer.
func (t *Sequencer) RecordFailure(voter string) {
	t.release(voter)
	delete(t.incomplete, voter)
}

// Done reports whether a voter has sent a complete state.
func (t *Sequencer) Done() bool { return t.done }

func (t *Sequencer) release(voter string) {
	if t.current == voter {
		t.current = ""
	}
}
