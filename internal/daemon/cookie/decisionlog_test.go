package cookie

import (
	"bytes"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
)

// An operator asks why a flow left its zone. Its log line names the zone and the view that decided,
// and lines of other flows do not.
func TestLogOfSpilledFlowNamesZoneAndView(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	var d decisionLog
	d.record(log, router.Packet{}, router.Verdict{
		Action: router.Forward, Reason: router.Placed, Zone: "b", LoadVersion: 41, LoadAge: 120 * time.Millisecond,
	})
	require.Contains(t, out.String(), `"LoadAge":"120ms"`)
	require.Contains(t, out.String(), `"LoadVersion":41`)
	require.Contains(t, out.String(), `"Zone":"b"`)
	out.Reset()
	d.record(log, router.Packet{}, router.Verdict{Action: router.Forward, Reason: router.Placed})
	require.NotContains(t, out.String(), "Load")
	require.NotContains(t, out.String(), "Zone")
}
