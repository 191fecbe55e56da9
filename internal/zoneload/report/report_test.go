package report_test

import (
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/member/seal"
	"wasabideal/internal/zoneload/report"
)

var update = flag.Bool("update", false, "update the golden files")

// headers is the size of the IP and UDP headers, the kind and the signature of a datagram.
const headers = 20 + 8 + 1 + seal.Size

func service(name string, occupied ...float64) report.Service {
	s := report.Service{Name: name, Occupied: map[string]float64{}}
	for i, n := range occupied {
		s.Occupied[string(rune('a'+i))+"-zone"] = n
	}
	s.Admitted = [report.Tiers]float64{150.25, 60}
	s.Rejected = [report.Tiers]float64{12, 0}
	return s
}

// usual is a report of 2 services and 3 zones under high load.
func usual() report.Report {
	return report.Report{
		Origin: "10.20.130.140:7001", Life: 1_764_900_000_123_456_789, Sequence: 70_000, Zone: "b-zone",
		Age: 80 * time.Millisecond, Balancers: 9, Link: report.Link{Use: 0.93, Delay: 31 * time.Millisecond},
		Services: []report.Service{service("orders", 20.5, 88.25, 14), service("catalog", 3, 40.0625, 2.5)},
	}
}

func usualAnswer() report.Answer {
	a := report.Answer{Sequence: 70_000}
	for _, name := range []string{"a-zone", "b-zone", "c-zone"} {
		r := usual()
		a.Zones = append(a.Zones, report.Zone{Name: name, Age: r.Age, Balancers: 33, Known: 34, Link: r.Link, Services: r.Services})
	}
	return a
}

func TestReportAndAnswerReturnUnchanged(t *testing.T) {
	b, err := usual().Encode()
	require.NoError(t, err)
	r, err := report.DecodeReport(b)
	require.NoError(t, err)
	require.Equal(t, usual(), r)
	b, err = usualAnswer().Encode()
	require.NoError(t, err)
	a, err := report.DecodeAnswer(b)
	require.NoError(t, err)
	require.Equal(t, usualAnswer(), a)
}

// Guards against control traffic above the budget of narrow links.
func TestSizes(t *testing.T) {
	b, err := usual().Encode()
	require.NoError(t, err)
	t.Logf("report of 2 services and 3 zones: %d bytes with headers", len(b)+headers)
	require.LessOrEqual(t, len(b)+headers, 150)
	b, err = usualAnswer().Encode()
	require.NoError(t, err)
	t.Logf("answer of 2 services and 3 zones: %d bytes with headers", len(b)+headers)
	require.LessOrEqual(t, len(b)+headers, 300)
}

// largeAnswer has 18 zones, each of which uses its own upstreams and those of two others.
func largeAnswer(services int) report.Answer {
	a := report.Answer{Sequence: 9}
	for i := range 18 {
		z := report.Zone{Name: fmt.Sprintf("region-%02d", i), Balancers: 170, Known: 178, Link: report.Link{Use: 0.4}}
		for n := range services {
			s := report.Service{Name: fmt.Sprintf("service-%02d", n), Occupied: map[string]float64{}}
			for step, share := range []float64{900, 40, 20} {
				s.Occupied[fmt.Sprintf("region-%02d", (i+step)%18)] = share / float64(n+1)
			}
			s.Admitted, s.Rejected = [report.Tiers]float64{4000, 900}, [report.Tiers]float64{100, 0}
			z.Services = append(z.Services, s)
		}
		a.Zones = append(a.Zones, z)
	}
	return a
}

// Guards against services that are left out although there is space in a further datagram.
func TestSplitHoldsAllZonesAndServices(t *testing.T) {
	for _, services := range []int{0, 1, 2, 5, 10, 32} {
		parts, zones, size := largeAnswer(services).Split(), 0, 0
		for _, part := range parts {
			b, err := part.Encode()
			require.NoError(t, err)
			a, err := report.DecodeAnswer(b)
			require.NoError(t, err)
			require.Equal(t, uint64(9), a.Sequence)
			for _, z := range a.Zones {
				require.False(t, z.Partial)
				require.Len(t, z.Services, services)
			}
			zones += len(a.Zones)
			size += len(b) + headers
		}
		require.Equal(t, 18, zones)
		t.Logf("18 zones, %d services: %d datagrams, %d bytes with headers", services, len(parts), size)
	}
	require.Empty(t, report.Answer{}.Split())
}

// Guards against answers that use up the budget for control traffic of a parent with eight followers,
// and against a condensed answer with another demand.
func TestCondensedAnswerKeepsDemand(t *testing.T) {
	for _, services := range []int{1, 2, 5, 10} {
		whole, size := largeAnswer(services), 0
		condensed := whole.Condensed("region-03")
		parts := condensed.Split()
		for _, part := range parts {
			b, err := part.Encode()
			require.NoError(t, err)
			size += len(b) + headers
		}
		t.Logf("18 zones, %d services, condensed: %d datagrams, %d bytes with headers", services, len(parts), size)
		require.Equal(t, whole.Sequence, condensed.Sequence)
		for i, z := range condensed.Zones {
			if z.Name == "region-03" {
				require.Equal(t, whole.Zones[i], z)
			}
			require.Equal(t, whole.Zones[i].Balancers, z.Balancers)
			for n, s := range z.Services {
				require.InDelta(t, whole.Zones[i].Services[n].Total(), s.Total(), 1e-9)
			}
		}
		require.Equal(t, condensed, condensed.Condensed("region-03"))
		require.Equal(t, largeAnswer(services), whole, "the operand does not change")
	}
}

func TestAnswerOfALargeFleetFits(t *testing.T) {
	for _, services := range []int{1, 2, 3, 40} {
		b, err := largeAnswer(services).Encode()
		require.NoError(t, err)
		a, err := report.DecodeAnswer(b)
		require.NoError(t, err)
		require.Len(t, a.Zones, 18)
		t.Logf("18 zones: %d bytes with headers, %d of %d services", len(b)+headers, len(a.Zones[0].Services), services)
		require.NotEmpty(t, a.Zones[0].Services)
		require.Equal(t, "service-00", a.Zones[0].Services[0].Name, "the service with the most occupied slots comes first")
		require.Equal(t, len(a.Zones[0].Services) < services, a.Zones[0].Partial)
	}
}

// Guards against a decoder of another version that reads other values, and against an encoding that
// changes unnoticed.
func TestEncodingIsStable(t *testing.T) {
	for name, encode := range map[string]func() ([]byte, error){"report": usual().Encode, "answer": usualAnswer().Encode} {
		b, err := encode()
		require.NoError(t, err)
		golden := filepath.Join("testdata", name+".golden.txt")
		if *update {
			require.NoError(t, os.MkdirAll("testdata", 0o700))
			require.NoError(t, os.WriteFile(golden, []byte(hex.Dump(b)), 0o600))
		}
		want, err := os.ReadFile(golden)
		require.NoError(t, err)
		require.Equal(t, string(want), hex.Dump(b))
	}
}

// appended returns an encoded value with a further element in each array that has a fixed number of
// elements, as a later version may send it.
func appended(t *testing.T, b []byte, services func([]any) []any) []byte {
	var message []any
	require.NoError(t, cbor.Unmarshal(b, &message))
	extended, err := cbor.Marshal(append(services(message), "later", []int{1, 2}))
	require.NoError(t, err)
	return extended
}

func withElement(list any) []any {
	var out []any
	for _, x := range list.([]any) {
		out = append(out, append(x.([]any), map[string]int{"later": 1}))
	}
	return out
}

// Guards against an upgrade during which old builds drop the messages of new ones.
func TestUnknownTrailingElementsAreIgnored(t *testing.T) {
	b, err := usual().Encode()
	require.NoError(t, err)
	r, err := report.DecodeReport(appended(t, b, func(m []any) []any {
		last := len(m) - 1
		m[last] = withElement(m[last])
		return m
	}))
	require.NoError(t, err)
	require.Equal(t, usual(), r)
	b, err = usualAnswer().Encode()
	require.NoError(t, err)
	a, err := report.DecodeAnswer(appended(t, b, func(m []any) []any {
		last := len(m) - 1
		zones := withElement(m[last])
		for _, z := range zones {
			fields := z.([]any)
			fields[len(fields)-2] = withElement(fields[len(fields)-2])
		}
		m[last] = zones
		return m
	}))
	require.NoError(t, err)
	require.Equal(t, usualAnswer(), a)
}

// Guards against a service that looks unused because it was left out: its demand would read 0, and
// decisions would send load to it.
func TestServicesThatWereLeftOutAreMarked(t *testing.T) {
	r := usual()
	r.Services = nil
	for n := range 40 {
		r.Services = append(r.Services, service(fmt.Sprint("s", n), float64(n+1)))
	}
	b, err := r.Encode()
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), report.MaxSize)
	decoded, err := report.DecodeReport(b)
	require.NoError(t, err)
	require.True(t, decoded.Partial)
	require.Len(t, decoded.Services, report.MaxServices)
	require.Equal(t, "s39", decoded.Services[0].Name)
	require.Equal(t, "s8", decoded.Services[len(decoded.Services)-1].Name)

	r.Services = []report.Service{service("used", 1), {Name: "unused", Occupied: map[string]float64{"a-zone": 0.01}}}
	b, err = r.Encode()
	require.NoError(t, err)
	decoded, err = report.DecodeReport(b)
	require.NoError(t, err)
	require.False(t, decoded.Partial, "a service without load is not listed, but known")
	require.Len(t, decoded.Services, 1)
}

// Guards against more zones than a receiver accepts, which would make it drop the whole message.
func TestTooManyZonesAreLeftOut(t *testing.T) {
	r, a := usual(), report.Answer{}
	s := report.Service{Name: "wide", Occupied: map[string]float64{}}
	for n := range 50 {
		name := fmt.Sprintf("z%02d", n)
		s.Occupied[name] = 1
		a.Zones = append(a.Zones, report.Zone{Name: name, Age: time.Duration(n) * time.Millisecond, Balancers: 1})
	}
	r.Services = append(r.Services, s)
	b, err := r.Encode()
	require.NoError(t, err)
	decoded, err := report.DecodeReport(b)
	require.NoError(t, err)
	require.True(t, decoded.Partial)
	require.Len(t, decoded.Services, 2)
	b, err = a.Encode()
	require.NoError(t, err)
	answer, err := report.DecodeAnswer(b)
	require.NoError(t, err)
	require.Len(t, answer.Zones, report.MaxZones)
	require.Equal(t, "z31", answer.Zones[31].Name, "the youngest zones remain")
}

func TestNamesThatDoNotFitAreAnError(t *testing.T) {
	a := report.Answer{}
	for n := range 20 {
		a.Zones = append(a.Zones, report.Zone{Name: fmt.Sprintf("%0100d", n), Balancers: 1})
	}
	_, err := a.Encode()
	var size *report.SizeError
	require.ErrorAs(t, err, &size)
	require.Greater(t, size.Size, report.MaxSize)
}

// Guards against ages that decrease on their way through several processes: an old view would seem
// fresh.
func TestAgesAreRoundedUp(t *testing.T) {
	r := usual()
	r.Age = 80*time.Millisecond + time.Nanosecond
	for hop := range 5 {
		b, err := r.Encode()
		require.NoError(t, err)
		next, err := report.DecodeReport(b)
		require.NoError(t, err)
		require.GreaterOrEqual(t, next.Age, r.Age, "hop %d", hop)
		require.Less(t, next.Age, 82*time.Millisecond)
		r = next
	}
}

func TestInvalidFiguresAreEncodedWithinBounds(t *testing.T) {
	r := usual()
	r.Age, r.Link = -time.Second, report.Link{Use: math.NaN(), Delay: time.Hour}
	r.Services = []report.Service{service("orders", math.Inf(1), -4, math.NaN())}
	b, err := r.Encode()
	require.NoError(t, err)
	decoded, err := report.DecodeReport(b)
	require.NoError(t, err)
	require.Zero(t, decoded.Age)
	require.Zero(t, decoded.Link.Use)
	require.Equal(t, time.Minute, decoded.Link.Delay)
	require.Len(t, decoded.Services[0].Occupied, 1)
	require.Greater(t, decoded.Services[0].Occupied["a-zone"], 1e6)
}

// Guards against malformed messages that are accepted, or that make the receiver fail.
func TestInvalidMessagesAreRejected(t *testing.T) {
	s := []any{0, []int{0, 16}, []int{0, 0, 0, 0}}
	valid := func() []any {
		return []any{"balancer:7001", 1, 1, 0, 1, 0, 0, false, []string{"a", "b"}, []string{"orders"}, []any{s}}
	}
	encode := func(x any) []byte {
		b, err := cbor.Marshal(x)
		require.NoError(t, err)
		return b
	}
	r, err := report.DecodeReport(encode(valid()))
	require.NoError(t, err)
	require.Equal(t, "balancer:7001", r.Origin)
	for _, c := range []struct {
		name    string
		element int
		value   any
	}{
		{"no origin", 0, ""},
		{"binary origin of a wrong length", 0, []byte{1, 2, 3}},
		{"negative sequence", 2, -1},
		{"age above a minute", 3, 60_001},
		{"no balancer", 4, 0},
		{"too many balancers", 4, uint64(math.MaxUint64)},
		{"link use out of range", 5, uint64(math.MaxUint64)},
		{"delay above a minute", 6, uint64(math.MaxUint64)},
		{"no zone", 8, []string{}},
		{"zone listed twice", 8, []string{"a", "a"}},
		{"name that is too long", 8, []string{fmt.Sprintf("%0200d", 1)}},
		{"too many zones", 8, make([]string, 33)},
		{"index of an unknown service", 10, []any{[]any{1, []int{}, []int{0, 0, 0, 0}}}},
		{"service listed twice", 10, []any{s, s}},
		{"index of an unknown zone", 10, []any{[]any{0, []int{2, 1}, []int{0, 0, 0, 0}}}},
		{"zone of a service listed twice", 10, []any{[]any{0, []int{0, 1, 0, 1}, []int{0, 0, 0, 0}}}},
		{"index without slots", 10, []any{[]any{0, []int{0}, []int{0, 0, 0, 0}}}},
		{"slots out of range", 10, []any{[]any{0, []any{0, uint64(math.MaxUint64)}, []int{0, 0, 0, 0}}}},
		{"rate out of range", 10, []any{[]any{0, []int{0, 1}, []any{0, 0, uint64(math.MaxUint64), 0}}}},
		{"service with too few elements", 10, []any{[]any{0, []int{0, 1}}}},
	} {
		message := valid()
		message[c.element] = c.value
		_, err := report.DecodeReport(encode(message))
		var invalid *report.DecodeError
		require.ErrorAs(t, err, &invalid, c.name)
	}
	for _, b := range [][]byte{nil, {0x80}, encode("text"), encode(valid()[:10]), make([]byte, report.MaxSize+1), append(encode(valid()), 0)} {
		_, err := report.DecodeReport(b)
		var invalid *report.DecodeError
		require.ErrorAs(t, err, &invalid)
		_, err = report.DecodeAnswer(b)
		require.ErrorAs(t, err, &invalid)
	}
}

func TestPlusAddsFigures(t *testing.T) {
	own, other := usual(), usual()
	other.Origin, other.Life, other.Sequence = "10.0.0.2:7001", 1, 2
	other.Age, other.Balancers, other.Link = 200*time.Millisecond, 2, report.Link{Use: 0.5, Delay: time.Second}
	other.Services = []report.Service{service("orders", 1, 1), service("billing", 7)}
	sum := own.Plus(other)
	require.Equal(t, own.Origin, sum.Origin)
	require.Equal(t, own.Life, sum.Life)
	require.Equal(t, own.Sequence, sum.Sequence)
	require.Equal(t, 200*time.Millisecond, sum.Age)
	require.Equal(t, 11, sum.Balancers)
	require.Equal(t, own.Link, sum.Link, "the busier link")
	require.Equal(t, []string{"billing", "catalog", "orders"}, names(sum))
	require.Equal(t, map[string]float64{"a-zone": 21.5, "b-zone": 89.25, "c-zone": 14}, sum.Services[2].Occupied)
	require.Equal(t, [report.Tiers]float64{300.5, 120}, sum.Services[2].Admitted)
	require.Equal(t, usual(), own, "the operands do not change")
}

func names(r report.Report) []string {
	var all []string
	for _, s := range r.Services {
		all = append(all, s.Name)
	}
	return all
}

// Guards against an incomplete sum that looks like free capacity: if one of two balancers left a
// service out, the load of the other one alone says too little.
func TestPlusLeavesOutServicesOfUnknownLoad(t *testing.T) {
	partial, whole := usual(), usual()
	partial.Partial = true
	whole.Services = append(whole.Services, service("billing", 7))
	for _, sum := range []report.Report{partial.Plus(whole), whole.Plus(partial), partial.Plus(whole).Plus(whole)} {
		require.True(t, sum.Partial)
		require.Equal(t, []string{"catalog", "orders"}, names(sum))
	}
}

func drawReport(t *rapid.T) report.Report {
	zones := []string{"a", "b", "c", "d"}
	r := report.Report{
		Origin: rapid.SampledFrom([]string{"10.0.0.1:7001", "[2001:db8::1]:7001", "host:7001", "010.0.0.1:7001"}).Draw(t, "origin"),
		Life:   rapid.Uint64().Draw(t, "life"), Sequence: rapid.Uint64().Draw(t, "sequence"), Zone: rapid.SampledFrom(zones).Draw(t, "zone"),
		Age: time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "age")), Balancers: rapid.IntRange(1, 3200).Draw(t, "balancers"),
		Link: report.Link{Use: rapid.Float64Range(0, 1.2).Draw(t, "use")}, Partial: rapid.Bool().Draw(t, "partial"),
	}
	for n := range rapid.IntRange(0, 40).Draw(t, "services") {
		s := report.Service{Name: fmt.Sprint("service-", n), Occupied: map[string]float64{}}
		for _, zone := range zones {
			if rapid.Bool().Draw(t, "occupied") {
				s.Occupied[zone] = rapid.Float64Range(0, 5000).Draw(t, "slots")
			}
		}
		s.Admitted[report.Urgent] = rapid.Float64Range(0, 500).Draw(t, "rate")
		r.Services = append(r.Services, s)
	}
	return r
}

// Guards against figures that differ by more than the rounding, and against messages above the
// maximum size, over random reports.
func TestRandomReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := drawReport(t)
		b, err := sent.Encode()
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), report.MaxSize)
		got, err := report.DecodeReport(b)
		require.NoError(t, err)
		require.Equal(t, sent.Origin, got.Origin)
		require.Equal(t, sent.Life, got.Life)
		require.Equal(t, sent.Sequence, got.Sequence)
		require.Equal(t, sent.Zone, got.Zone)
		require.GreaterOrEqual(t, got.Age, sent.Age)
		for _, s := range sent.Services {
			i := slices.IndexFunc(got.Services, func(x report.Service) bool { return x.Name == s.Name })
			if i < 0 {
				require.True(t, got.Partial || s.Total() <= 4*1.0/32, "a service with load was left out")
				continue
			}
			for zone, n := range s.Occupied {
				require.InDelta(t, n, got.Services[i].Occupied[zone], 1.0/32+1e-9)
			}
		}
	})
}

// Guards against sums that depend on the order in which reports arrive.
func TestPlusIsCommutativeAndAssociative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawReport(t), drawReport(t), drawReport(t)
		requireSameFigures(t, a.Plus(b), b.Plus(a))
		requireSameFigures(t, a.Plus(b).Plus(c), a.Plus(b.Plus(c)))
	})
}

func requireSameFigures(t require.TestingT, a, b report.Report) {
	require.Equal(t, a.Age, b.Age)
	require.Equal(t, a.Balancers, b.Balancers)
	require.Equal(t, a.Partial, b.Partial)
	require.Equal(t, a.Link, b.Link)
	require.Len(t, a.Services, len(b.Services))
	for i, x := range a.Services {
		y := b.Services[i]
		require.Equal(t, x.Name, y.Name)
		require.Equal(t, slices.Sorted(maps.Keys(x.Occupied)), slices.Sorted(maps.Keys(y.Occupied)))
		for zone, n := range x.Occupied {
			require.InDelta(t, n, y.Occupied[zone], 1e-6)
		}
	}
}

func FuzzDecodeReport(f *testing.F) {
	b, err := usual().Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := report.DecodeReport(b)
		if err != nil {
			return
		}
		encoded, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := report.DecodeReport(encoded); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeAnswer(f *testing.F) {
	b, err := usualAnswer().Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := report.DecodeAnswer(b)
		if err != nil {
			return
		}
		encoded, err := a.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := report.DecodeAnswer(encoded); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkAnswer(b *testing.B) {
	for _, services := range []int{2, 32} {
		a := largeAnswer(services)
		b.Run(fmt.Sprint("encode ", services), func(b *testing.B) {
			for b.Loop() {
				if _, err := a.Encode(); err != nil {
					b.Fatal(err)
				}
			}
		})
		encoded, _ := a.Encode()
		b.Run(fmt.Sprint("decode ", services), func(b *testing.B) {
			for b.Loop() {
				if _, err := report.DecodeAnswer(encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
