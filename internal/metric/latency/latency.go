package latency

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// samples is the size and sampleBias the decay factor of the exponentially decaying sample for
// quantiles. The sample covers a few minutes of one process.
const (
	samples    = 512
	sampleBias = 0.015
)

// Latency is a histogram of durations in microseconds, safe for concurrent use.
type Latency struct{ histogram metrics.Histogram }

// New registers a histogram under the name with the suffix "Microseconds".
func New(name string, r metrics.Registry) Latency {
	return Latency{metrics.NewRegisteredHistogram(name+"Microseconds", r, metrics.NewExpDecaySample(samples, sampleBias))}
}

// Record adds one duration.
func (l Latency) Record(d time.Duration) { l.histogram.Update(d.Microseconds()) }
