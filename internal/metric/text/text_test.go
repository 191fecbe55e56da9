package text_test

import (
	"bytes"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/metric/text"
)

func TestPrintedMetrics(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("FlowsPlaced", r).Inc(3)
	metrics.GetOrRegisterGauge("Revision", r).Update(7)
	h := metrics.GetOrRegisterHistogram("OpeningMs", r, metrics.NewUniformSample(10))
	h.Update(4)
	h.Update(6)
	var b bytes.Buffer
	require.NoError(t, text.New(r, "wasabideal").Print(&b))
	require.Equal(t, "wasabideal_flows_placed 3\nwasabideal_opening_ms_count 2\nwasabideal_opening_ms_p50 5\n"+
		"wasabideal_opening_ms_p90 6\nwasabideal_opening_ms_p99 6\nwasabideal_opening_ms_sum 10\nwasabideal_revision 7\n", b.String())
}
