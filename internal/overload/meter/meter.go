package meter

import (
	"math"
	"time"
)

// Meter is an exponentially decaying rate. It is not safe for concurrent use.
type Meter struct {
	timeConstant time.Duration
	sum          float64
	updated      time.Time
}

// New returns a meter with the given time constant, within which the rate follows about two
// thirds of a change.
func New(constant time.Duration) *Meter { return &Meter{timeConstant: constant} }

// Add records an amount.
func (m *Meter) Add(now time.Time, amount float64) {
	m.decay(now)
	m.sum += amount
}

// Rate returns the rate in amounts per second.
func (m *Meter) Rate(now time.Time) float64 {
	m.decay(now)
	return m.sum / m.timeConstant.Seconds()
}

// decayParts is the number of decays per time constant. Between two decays the rate is too high
// by at most 2 %; in return, several hundred new flows a second do not each compute an
// exponential.
const decayParts = 50

func (m *Meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > m.timeConstant/decayParts {
		m.sum *= math.Exp(-elapsed.Seconds() / m.timeConstant.Seconds())
		m.updated = now
	}
}
