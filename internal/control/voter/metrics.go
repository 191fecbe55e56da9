package voter

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/metric/latency"
	"wasabideal/internal/metric/text"
)

// counts holds the voter's metrics and their registry.
type counts struct {
	registry                         metrics.Registry
	applied, failedWrites            metrics.Counter
	rejectedAnnouncements            metrics.Counter
	acceptLatency, syncLatency       latency.Latency
	confirmedReads, unconfirmedReads metrics.Counter

	loadReportsReceived, loadReportsDropped metrics.Counter
}

func newCounts() *counts {
	r := metrics.NewRegistry()
	return &counts{
		registry:              r,
		applied:               metrics.NewRegisteredCounter("ChangesAppliedTotal", r),
		failedWrites:          metrics.NewRegisteredCounter("DiskFailuresTotal", r),
		rejectedAnnouncements: metrics.NewRegisteredCounter("AnnouncementsRefusedTotal", r),
		confirmedReads:        metrics.NewRegisteredCounter("ReadsConfirmedTotal", r),
		unconfirmedReads:      metrics.NewRegisteredCounter("ReadsRefusedTotal", r),
		loadReportsReceived:   metrics.NewRegisteredCounter("LoadReportsReceivedTotal", r),
		loadReportsDropped:    metrics.NewRegisteredCounter("LoadReportsDroppedTotal", r),
		acceptLatency:         latency.New("Accept", r),
		syncLatency:           latency.New("DiskSync", r),
	}
}

// ServeMetrics writes the metrics in the text format.
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
		v.log.Warn("writing metrics failed", "Error", err)
	}
}

// CountRejectedAnnouncement counts an announcement that is rejected because it does not identify an upstream.
func (v *Voter) CountRejectedAnnouncement() { v.counts.rejectedAnnouncements.Inc(1) }

// CountLoadReport counts a balancer's load report that is answered.
func (v *Voter) CountLoadReport() { v.counts.loadReportsReceived.Inc(1) }

// CountDroppedLoadReport counts a load report that is stale or cannot be decoded.
func (v *Voter) CountDroppedLoadReport() { v.counts.loadReportsDropped.Inc(1) }
