package meter

import (
	"math"
	"time"
)

// Meter is a rate that follows changes within a time constant; one goroutine owns it.
type Meter struct {
	constant time.Duration
	sum      float64
	at       time.Time
}

// New returns a meter with a time constant: a change is followed by two thirds after it.
func New(constant time.Duration) *Meter { return &Meter{constant: constant} }

// Add notes an amount.
func (m *Meter) Add(now time.Time, amount float64) {
	m.fade(now)
	m.sum += amount
}

// Rate returns the amount a second.
func (m *Meter) Rate(now time.Time) float64 {
	m.fade(now)
	return m.sum / m.constant.Seconds()
}

// fadeParts is the part of the time constant in which a rate may stay as it is: it is then
// too large by 2 % at the most, and some hundred openings a second cost no exponential each.
const fadeParts = 50

func (m *Meter) fade(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > m.constant/fadeParts {
		m.sum *= math.Exp(-elapsed.Seconds() / m.constant.Seconds())
		m.at = now
	}
}
