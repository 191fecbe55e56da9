package latency

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// samples is the number of latencies from which quantiles are told, and
// sampleBias how much the newest weigh more: some minutes' worth of one process.
const (
	samples    = 512
	sampleBias = 0.015
)

// Latency is one histogram in microseconds; it is safe for concurrent use.
type Latency struct{ histogram metrics.Histogram }

// New returns a histogram under a name in a registry.
func New(name string, r metrics.Registry) Latency {
	return Latency{metrics.NewRegisteredHistogram(name+"Microseconds", r, metrics.NewExpDecaySample(samples, sampleBias))}
}

// Record notes one duration.
func (l Latency) Record(d time.Duration) { l.histogram.Update(d.Microseconds()) }
