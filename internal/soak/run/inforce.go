package run

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// revisionMetric is the gauge of the revision that a balancer applies.
const revisionMetric = "wasabideal_revision"

// metricsTimeout limits the wait for a page of metrics.
const metricsTimeout = time.Second

// MetricError reports a page of metrics without a metric.
type MetricError struct{ Name string }

func (e *MetricError) Error() string {
	return "no value of " + e.Name + " on the page of metrics"
}

// revisionInForce returns the revision that the balancer with an address for metrics applies.
func revisionInForce(address string) (uint64, error) {
	client := http.Client{Timeout: metricsTimeout}
	a, err := client.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	page, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, fmt.Errorf("read metrics: %w", err)
	}
	for line := range strings.Lines(string(page)) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); name == revisionMetric {
			return strconv.ParseUint(value, 10, 64)
		}
	}
	return 0, &MetricError{Name: revisionMetric}
}

// inForceTimeout is the bound on configurations in the settings of the processes (ApplyMs).
const inForceTimeout = 3 * time.Second

// checkInForce verifies that each balancer applies the acknowledged configuration within inForceTimeout.
func (r *Run) checkInForce() {
	r.mu.Lock()
	acknowledged := r.acknowledged
	r.mu.Unlock()
	end := time.Now().Add(inForceTimeout)
	for _, b := range r.balancers {
		for {
			revision, err := revisionInForce(fmt.Sprintf("%s:%d", b, MetricsPort))
			if err == nil && revision >= acknowledged {
				break
			}
			if time.Now().After(end) {
				r.reportViolation(InvariantInForce, fmt.Sprintf("%s applies %d where %d was acknowledged (%v)", b, revision, acknowledged, err))
				break
			}
			time.Sleep(readinessInterval)
		}
	}
}
