package snapshot

import "time"

// maxRequests is the number of sent reports that are remembered: at 45 ms each, more than MaxAge.
const maxRequests = 32

// Requests remembers when this balancer sent its reports, so that the age of an answer can count
// from then, and so that a reordered answer is dropped. Several answers to one report may be used:
// a large answer consists of several datagrams, and a duplicated one changes nothing. The zero value has sent none.
// It is not safe for concurrent use.
type Requests struct {
	sent [maxRequests]struct {
		sequence uint64
		at       time.Time
	}
	// answered holds the sequence of the latest answer by the address of its sender.
	answered map[string]uint64
}

// Sent records that a report was sent. Sequences start at 1 and rise by 1.
func (q *Requests) Sent(now time.Time, sequence uint64) {
	x := &q.sent[sequence%maxRequests]
	x.sequence, x.at = sequence, now
}

// Answered returns when the report was sent that an answer refers to. It returns false if the
// answer is to be dropped: the report is unknown, or the same process has answered a later one
// before.
func (q *Requests) Answered(from string, sequence uint64) (time.Time, bool) {
	x := q.sent[sequence%maxRequests]
	if x.at.IsZero() || x.sequence != sequence || sequence < q.answered[from] {
		return time.Time{}, false
	}
	if q.answered == nil || len(q.answered) >= maxRequests {
		q.answered = map[string]uint64{}
	}
	q.answered[from] = sequence
	return x.at, true
}
