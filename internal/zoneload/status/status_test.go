package status_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
	"wasabideal/internal/zoneload/status"
)

var update = flag.Bool("update", false, "update the golden files")

const ms = time.Millisecond

// processes returns the load as known at a voter, a balancer that rejects and spills flows, and a
// balancer without shared load.
func processes() []status.Status {
	reported := []report.Zone{
		{
			Name: "b", Age: 60 * ms, Balancers: 28, Known: 28, Link: report.Link{Use: 0.31, Delay: 2 * ms},
			Services: []report.Service{{Name: "orders", Occupied: map[string]float64{"b": 22.5}, Admitted: [report.Tiers]float64{report.Ordinary: 900, report.Urgent: 60}}},
		},
		{
			Name: "a", Age: 90 * ms, Balancers: 30, Known: 33, Partial: true, Link: report.Link{Use: 0.92, Delay: 41 * ms},
			Services: []report.Service{
				{Name: "notes", Occupied: map[string]float64{}},
				{
					Name: "orders", Occupied: map[string]float64{"a": 171, "b": 20.5},
					Admitted: [report.Tiers]float64{report.Ordinary: 2400, report.Urgent: 300}, Rejected: [report.Tiers]float64{report.Ordinary: 510},
				},
			},
		},
	}
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	view := snapshot.Snapshot{}.With(now.Add(-50*ms), reported)
	return []status.Status{
		{Address: "10.0.1.1:7000", Shared: true, Zones: status.Zones(reported)},
		{Address: "10.0.1.7:7401", Shared: true, Version: view.Version, Zones: status.ViewZones(now, view), Balancer: &status.Balancer{
			Zone: "a", LinkAdmission: true, LinkUse: 0.92, LinkDelay: 41 * ms,
			Services: []status.Decision{
				{Service: "notes", Usable: map[string]float64{"a": 8}},
				{
					Service: "orders", Usable: map[string]float64{"a": 80, "b": 76.5}, Shares: []status.Share{{Zone: "b", Short: 0.42, Bulk: 0.1}},
					UseKnown: true, Use: 1.37, Urgent: status.Admission{Limit: 3}, Ordinary: status.Admission{Limit: 1.5, RejectedShare: 0.57},
				},
			},
		}},
		{Address: "10.0.1.8:7401", Balancer: &status.Balancer{Zone: "a", Services: []status.Decision{{Service: "orders"}}}},
	}
}

// Guards against changes of the table that operators read.
func TestTable(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, status.WriteTable(&b, processes()))
	const golden = "testdata/table.golden.txt"
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o750))
		require.NoError(t, os.WriteFile(golden, b.Bytes(), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), b.String())
}

// Guards against fields that the encoding of RPC messages loses, and tiers or zones that are swapped.
func TestEncodedStatusIsTheSame(t *testing.T) {
	for _, s := range processes() {
		b, err := cbor.Marshal(s)
		require.NoError(t, err)
		var decoded status.Status
		require.NoError(t, cbor.Unmarshal(b, &decoded))
		require.Equal(t, s, decoded)
	}
	orders := processes()[0].Zones[0].Services[1]
	require.Equal(t, status.Rates{Urgent: 300, Ordinary: 2400}, orders.Admitted)
	require.Equal(t, status.Rates{Ordinary: 510}, orders.Rejected)
	require.Equal(t, 140*ms, processes()[1].Zones[0].Age)
	require.Equal(t, 33, processes()[1].Zones[0].Known)
}
