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

func (m *Meter) fade(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		m.sum *= math.Exp(-elapsed.Seconds() / m.constant.Seconds())
		m.at = now
	}
}
