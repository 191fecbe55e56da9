package lag

import "time"

// reportInterval is the time between two reports while the process is behind.
const reportInterval = time.Second

// Tracker records the announced and the applied revisions of one process, and the calls to its
// sources. It is not safe for concurrent use.
type Tracker struct {
	announced, applied uint64
	// source is the source that first announced the newest revision.
	source string
	// since is when the process fell behind: when a revision newer than the applied one was first
	// announced, or the start while there is no configuration. It is zero if the process is current.
	since      time.Time
	lastReport time.Time
	// polls and fetches count the calls since the last report.
	polls, fetches calls
	// failures counts the failed fetches since the start.
	failures int
}

// calls counts answered and failed calls, and keeps the last failure.
type calls struct {
	answered, failed int
	address          string
	err              error
}

func (c *calls) record(address string, err error) {
	if err == nil {
		c.answered++
		return
	}
	c.failed++
	c.address, c.err = address, err
}

// New returns a tracker of a process that has no configuration yet.
func New(started time.Time) *Tracker { return &Tracker{since: started, lastReport: started} }

// Announce records that a source announced a revision.
func (t *Tracker) Announce(now time.Time, source string, revision uint64) {
	if revision <= t.announced {
		return
	}
	t.announced, t.source = revision, source
	if revision > t.applied && t.since.IsZero() {
		t.since, t.lastReport = now, now
	}
}

// Apply records the revision in force.
func (t *Tracker) Apply(now time.Time, revision uint64) {
	if revision <= t.applied {
		return
	}
	t.applied, t.since = revision, now
	if t.announced <= revision {
		t.since = time.Time{}
	}
	t.polls, t.fetches = calls{}, calls{}
}

// RecordPoll records the result of a long poll.
func (t *Tracker) RecordPoll(address string, err error) { t.polls.record(address, err) }

// RecordFetch records the result of a request for a configuration.
func (t *Tracker) RecordFetch(address string, err error) {
	t.fetches.record(address, err)
	if err != nil {
		t.failures++
	}
}

// Announced returns the newest announced revision.
func (t *Tracker) Announced() uint64 { return t.announced }

// FetchesFailed returns how many requests for a configuration have failed.
func (t *Tracker) FetchesFailed() int { return t.failures }

// Behind returns for how long the process has been behind, 0 if it is current.
func (t *Tracker) Behind(now time.Time) time.Duration {
	if t.since.IsZero() {
		return 0
	}
	return now.Sub(t.since)
}

// Report returns the fields of a log line once per reportInterval while the process is behind, and
// starts a new interval.
func (t *Tracker) Report(now time.Time) ([]any, bool) {
	if t.since.IsZero() {
		// Calls of a process that is current explain no delay.
		t.polls, t.fetches = calls{}, calls{}
		return nil, false
	}
	if now.Sub(t.lastReport) < reportInterval {
		return nil, false
	}
	args := []any{
		"Held", t.applied, "Announced", t.announced, "AnnouncedBy", t.source, "Behind", t.Behind(now).String(),
		"PollsAnswered", t.polls.answered, "PollsFailed", t.polls.failed, "FetchesAnswered", t.fetches.answered, "FetchesFailed", t.fetches.failed,
	}
	if t.polls.err != nil {
		args = append(args, "PollError", t.polls.err.Error(), "PollAddress", t.polls.address)
	}
	if t.fetches.err != nil {
		args = append(args, "FetchError", t.fetches.err.Error(), "FetchAddress", t.fetches.address)
	}
	t.lastReport, t.polls, t.fetches = now, calls{}, calls{}
	return args, true
}
