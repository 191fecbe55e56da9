package report_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/zoneload/report"
)

// manyZones returns the load of zones, each of which uses its own and two other zones.
func manyZones(zones, services int) []report.Zone {
	var out []report.Zone
	for i := range zones {
		z := report.Zone{
			Name: fmt.Sprint("zone-", i), Age: 40 * time.Millisecond, Balancers: 30, Known: 33,
			Link: report.Link{Use: 0.5, Delay: 3 * time.Millisecond},
		}
		for j := range services {
			z.Services = append(z.Services, report.Service{
				Name: fmt.Sprint("service-", j), Admitted: [report.Tiers]float64{120, 40}, Rejected: [report.Tiers]float64{10, 0},
				Occupied: map[string]float64{z.Name: 100 + float64(j), "zone-0": 4, "zone-1": 5},
			})
		}
		out = append(out, z)
	}
	return out
}

// Answers that are put together from encoded parts must not differ from those that are encoded at once:
// receivers would drop them, or take the load of one zone for that of another. What does not fit into one
// message must not be lost.
func TestPreparedAnswersEqualEncodedOnes(t *testing.T) {
	for _, c := range []struct{ zones, services, messages int }{{0, 0, 1}, {1, 1, 1}, {3, 2, 1}, {18, 2, 1}, {30, 6, 0}, {40, 2, 0}, {3, 40, 0}} {
		zones := manyZones(c.zones, c.services)
		p, err := report.Prepare(zones)
		require.NoError(t, err)
		messages, err := p.Encode(7, "zone-1")
		require.NoError(t, err)
		if c.messages > 0 {
			require.Len(t, messages, c.messages, c)
		}
		got := map[string]report.Zone{}
		for _, b := range messages {
			require.LessOrEqual(t, len(b), report.MaxSize)
			a, err := report.DecodeAnswer(b)
			require.NoError(t, err)
			require.Equal(t, uint64(7), a.Sequence)
			for _, z := range a.Zones {
				got[z.Name] = z
			}
		}
		require.Len(t, got, c.zones)
		for _, z := range (report.Answer{Zones: zones}).Condensed("zone-1").Zones {
			require.Equal(t, z.Age, got[z.Name].Age)
			require.Equal(t, z.Link, got[z.Name].Link)
			require.Equal(t, z.Balancers, got[z.Name].Balancers)
			require.Equal(t, z.Known, got[z.Name].Known)
			if !got[z.Name].Partial {
				require.ElementsMatch(t, z.Services, got[z.Name].Services, c)
			}
		}
	}
}
