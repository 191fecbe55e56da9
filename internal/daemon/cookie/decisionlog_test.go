package cookie

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/router"
)

// Guards against rejections by the load of all zones whose log line does not show the view and the
// limit that decided, and against these fields on rejections by a balancer's own rules.
func TestRejectionByZoneLoadIsExplained(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true})
	line := func(v router.Verdict) map[string]any {
		out.Reset()
		(&decisionLog{}).record(log, router.Packet{}, v)
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(out.Bytes(), &fields))
		return fields
	}
	fields := line(router.Verdict{
		Action: router.Reset, Reason: router.Overloaded, Use: 2.75, SlotLimit: 3, LoadVersion: 7, LoadAge: 200 * time.Millisecond,
	})
	require.Equal(t, 2.75, fields["Use"])
	require.Equal(t, 3.0, fields["SlotLimit"])
	require.Equal(t, 7.0, fields["LoadVersion"])
	require.Equal(t, "200ms", fields["LoadAge"])
	fields = line(router.Verdict{Action: router.Reset, Reason: router.Overloaded, Limit: 6})
	for _, name := range []string{"Use", "SlotLimit", "LoadVersion", "LoadAge"} {
		require.NotContains(t, fields, name)
	}
}

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
