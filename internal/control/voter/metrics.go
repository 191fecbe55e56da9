package voter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/metric/text"
)

// samples is the number of latencies from which quantiles are told, the newest
// weighted most.
const (
	samples    = 512
	sampleBias = 0.015
)

// counts are the voter's metrics.
type counts struct {
	registry                metrics.Registry
	applied, failedWrites   metrics.Counter
	accepting, syncing      metrics.Histogram
	readsDone, readsRefused metrics.Counter
}

func newCounts() *counts {
	r := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(samples, sampleBias))
	}
	return &counts{
		registry:     r,
		applied:      metrics.NewRegisteredCounter("ChangesAppliedTotal", r),
		failedWrites: metrics.NewRegisteredCounter("DiskFailuresTotal", r),
		readsDone:    metrics.NewRegisteredCounter("ReadsConfirmedTotal", r),
		readsRefused: metrics.NewRegisteredCounter("ReadsRefusedTotal", r),
		accepting:    histogram("AcceptMicroseconds"),
		syncing:      histogram("DiskSyncMicroseconds"),
	}
}

func since(h metrics.Histogram, begun, now time.Time) { h.Update(now.Sub(begun).Microseconds()) }

// ServeMetrics answers with the metrics as text.
func (v *Voter) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	r := v.Report()
	set := func(name string, n uint64) { metrics.GetOrRegisterGauge(name, v.counts.registry).Update(int64(n)) }
	leads := uint64(0)
	if r.Role == agreement.Leader {
		leads = 1
	}
	set("Leads", leads)
	set("Term", r.Term)
	set("Revision", r.Revision)
	set("Accepted", r.Commit)
	set("Voters", uint64(len(r.Voters)))
	set("LogBytes", uint64(r.LogBytes))
	set("LeaderSilenceMilliseconds", uint64(min(r.Silence, time.Hour).Milliseconds()))
	if err := text.New(v.counts.registry, "wasabideal").Print(w); err != nil {
		v.log.Warn("metrics not written", "Error", err)
	}
}
