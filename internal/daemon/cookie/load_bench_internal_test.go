package cookie

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/schedule"
	"wasabideal/internal/zoneload/snapshot"
	"wasabideal/internal/zoneload/socket"
)

// headers is the length of the headers of IP and UDP.
const headers = 28

// BenchmarkLoadExchange measures a parent while the load changes: 8 followers report 2 services and 3
// zones at the highest rate. An iteration takes schedule.FollowerInterval. The processor time is that of
// the threads that serve the socket and send the parent's own reports; router.Load is not included.
func BenchmarkLoadExchange(b *testing.B) {
	const followers = 8
	l, err := socket.Listen("127.0.0.1:0", "group")
	require.NoError(b, err)
	voter, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(b, err)
	defer func() { require.NoError(b, voter.Close()) }()
	services := func(n int) []report.Service {
		var out []report.Service
		for k := range 2 {
			out = append(out, report.Service{
				Name: fmt.Sprint("service-", k), Admitted: [report.Tiers]float64{120, 40}, Rejected: [report.Tiers]float64{10, 0},
				Occupied: map[string]float64{"zone-0": 50 + float64(40*(n%2)), "zone-1": 7, "zone-2": 3},
			})
		}
		return out
	}
	calls := 0
	x := newLoadExchange(loadSettings{
		clock: time.Now, self: l.Address().String(), zone: "zone-0", life: 1, counts: newCounts(), log: hclog.NewNullLogger(),
		receivers: func() (string, []string) { return "", []string{voter.LocalAddr().String()} },
		load: func(time.Time) []report.Service {
			calls++
			return services(calls)
		},
		apply: func(time.Time, snapshot.Snapshot) {}, link: func(time.Time) report.Link { return report.Link{} },
		stopping: func() bool { return false },
	}, l)
	var zones []report.Zone
	for i := range 3 {
		zones = append(zones, report.Zone{Name: fmt.Sprint("zone-", i), Balancers: 30, Known: 33, Services: services(i)})
	}
	used := make(chan time.Duration)
	measure := func(f func()) {
		runtime.LockOSThread()
		begin := threadTime(b)
		f()
		used <- threadTime(b) - begin
	}
	stop := make(chan struct{})
	go measure(func() { x.socket.Serve(x) })
	go measure(func() {
		for next := time.Duration(0); ; {
			select {
			case <-stop:
				return
			case <-time.After(next):
				next = x.report()
			}
		}
	})
	signer := socket.NewSigner("group")
	var conns []net.Conn
	answerBytes, answers := make(chan int, followers), 0
	for range followers {
		c, err := net.Dial("udp4", l.Address().String())
		require.NoError(b, err)
		conns = append(conns, c)
		go func() {
			buffer, sum := make([]byte, 2048), 0
			for {
				n, err := c.Read(buffer)
				if err != nil {
					answerBytes <- sum
					return
				}
				sum += n + headers
			}
		}()
	}
	reportBytes, sent := 0, 0
	b.ResetTimer()
	for i := range b.N {
		x.mu.Lock()
		x.view = x.view.With(time.Now(), zones)
		x.schedule.RecordAnswer(voter.LocalAddr().String())
		x.mu.Unlock()
		for j, c := range conns {
			data, err := socket.EncodeReport(signer, report.Report{
				Origin: fmt.Sprintf("10.0.0.%d:7720", j), Life: 1, Sequence: uint64(i + 1), Zone: "zone-0", Balancers: 1, Services: services(i),
			})
			require.NoError(b, err)
			_, err = c.Write(data)
			require.NoError(b, err)
			reportBytes, sent = reportBytes+len(data)+headers, sent+1
			time.Sleep(schedule.FollowerInterval / followers)
		}
	}
	seconds := b.Elapsed().Seconds()
	b.StopTimer()
	time.Sleep(100 * time.Millisecond)
	close(stop)
	cpu := <-used
	l.Close()
	cpu += <-used
	for _, c := range conns {
		require.NoError(b, c.Close())
		answers += <-answerBytes
	}
	require.Equal(b, int64(sent), x.settings.counts.loadReportsReceived.Count())
	b.ReportMetric(float64(reportBytes)/float64(sent), "B/report")
	b.ReportMetric(float64(answers)/float64(sent), "B/answer")
	b.ReportMetric(float64(reportBytes)/seconds/1000, "kB/s-in")
	b.ReportMetric(float64(answers)/seconds/1000, "kB/s-out")
	b.ReportMetric(float64(sent)/seconds, "reports/s")
	b.ReportMetric(float64(x.settings.counts.loadReportsSent.Count())/seconds, "own/s")
	b.ReportMetric(100*cpu.Seconds()/seconds, "%core")
}

// threadTime returns the processor time of the calling thread.
func threadTime(b *testing.B) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		b.Error(err)
	}
	return time.Duration(t.Nano())
}
