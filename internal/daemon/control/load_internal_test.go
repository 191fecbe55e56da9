package control

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"wasabideal/internal/zoneload/collector"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/schedule"
	"wasabideal/internal/zoneload/socket"
)

// headers is the length of the headers of IP and UDP.
const headers = 28

// BenchmarkLoadExchange measures a voter while the load of all zones changes: 4 balancers of each zone
// report at the highest rate. An iteration takes schedule.RootInterval, in which each balancer sends one
// report of 2 services and 3 zones. The processor time is that of the thread that serves the socket.
func BenchmarkLoadExchange(b *testing.B) {
	for _, balancers := range []int{12, 72} {
		b.Run(fmt.Sprint(balancers), func(b *testing.B) { benchmarkExchange(b, balancers) })
	}
}

func benchmarkExchange(b *testing.B, balancers int) {
	l, err := socket.Listen("127.0.0.1:0", "group")
	require.NoError(b, err)
	known := map[string]int{}
	for i := range balancers / 4 {
		known[fmt.Sprint("zone-", i)] = 33
	}
	received, dropped := 0, 0
	s := &loadService{
		clock: time.Now, socket: l, count: func() map[string]int { return known }, reports: collector.New(),
		answered: func() { received++ }, dropped: func() { dropped++ }, log: hclog.NewNullLogger(),
	}
	used := make(chan time.Duration)
	go func() {
		runtime.LockOSThread()
		begin := threadTime(b)
		l.Serve(s)
		used <- threadTime(b) - begin
	}()
	signer := socket.NewSigner("group")
	var conns []net.Conn
	answerBytes, answers := make(chan int, balancers), 0
	for range balancers {
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
		for j, c := range conns {
			zone := fmt.Sprint("zone-", j/4)
			r := report.Report{Origin: fmt.Sprintf("10.0.%d.%d:7720", j/4, j), Life: 1, Sequence: uint64(i + 1), Zone: zone, Balancers: 8}
			for k := range 2 {
				r.Services = append(r.Services, report.Service{
					Name: fmt.Sprint("service-", k), Admitted: [report.Tiers]float64{120, 40}, Rejected: [report.Tiers]float64{10, 0},
					Occupied: map[string]float64{zone: 50 + float64(i%50), "zone-0": 7, "zone-1": 3},
				})
			}
			data, err := socket.EncodeReport(signer, r)
			require.NoError(b, err)
			_, err = c.Write(data)
			require.NoError(b, err)
			reportBytes, sent = reportBytes+len(data)+headers, sent+1
			time.Sleep(schedule.RootInterval / time.Duration(balancers))
		}
	}
	elapsed := b.Elapsed()
	b.StopTimer()
	time.Sleep(100 * time.Millisecond)
	l.Close()
	cpu := <-used
	for _, c := range conns {
		require.NoError(b, c.Close())
		answers += <-answerBytes
	}
	require.Zero(b, dropped)
	require.Equal(b, sent, received)
	seconds := elapsed.Seconds()
	b.ReportMetric(float64(reportBytes)/float64(sent), "B/report")
	b.ReportMetric(float64(answers)/float64(sent), "B/answer")
	b.ReportMetric(float64(reportBytes)/seconds/1000, "kB/s-in")
	b.ReportMetric(float64(answers)/seconds/1000, "kB/s-out")
	b.ReportMetric(float64(sent)/seconds, "reports/s")
	b.ReportMetric(float64(cpu.Microseconds())/float64(sent), "us/report")
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
