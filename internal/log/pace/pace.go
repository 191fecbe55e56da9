package pace

import "time"

// span is the time over which lines are counted.
const span = time.Second

// Pace lets some lines a second through and counts the others.
type Pace struct {
	most   int
	since  time.Time
	spent  int
	passed int
}

// New returns a pace of so many lines a second.
func New(most int) *Pace { return &Pace{most: most} }

// Take says whether a line may be written now, and how many were not since the last
// that was.
func (p *Pace) Take(now time.Time) (passed int, ok bool) {
	if now.Sub(p.since) >= span {
		p.since, p.spent = now, 0
	}
	if p.spent >= p.most {
		p.passed++
		return 0, false
	}
	p.spent++
	passed, p.passed = p.passed, 0
	return passed, true
}
