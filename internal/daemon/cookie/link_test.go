package cookie

import (
	"bytes"
	"encoding/binary"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/overload/linkbudget"
	"wasabideal/internal/upstream/view"
)

var (
	linkEpoch   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	linkRoute   = netip.MustParseAddrPort("198.18.0.1:443")
	linkUploads = netip.MustParseAddrPort("198.18.0.2:443")
)

// linkHeaderSize is the size of a datagram without data. With the headers and the frame it takes openingSize
// bytes of the link, and forwarded forwardedSize.
const (
	linkHeaderSize             = 36
	openingSize, forwardedSize = linkHeaderSize + 66, linkHeaderSize + 8 + 66
)

// fixedCodec decodes a datagram to the packet that its first four bytes number.
type fixedCodec struct{ packets []router.Packet }

func (c *fixedCodec) Decode(b []byte) (router.Packet, error) {
	return c.packets[binary.BigEndian.Uint32(b)], nil
}

func (*fixedCodec) Forward(buffer, data []byte, _ router.Verdict) []byte {
	return append(append(buffer, make([]byte, 8)...), data...)
}

func (*fixedCodec) Reset(buffer []byte, p router.Packet) (netip.AddrPort, []byte) {
	return p.Caller, append(buffer, make([]byte, linkHeaderSize)...)
}

// linkBalancer is a balancer that is not started. Its packets are handled at times that the test sets.
type linkBalancer struct {
	*Balancer
	codec *fixedCodec
	now   time.Time
	log   bytes.Buffer
}

func newLinkBalancer(t testing.TB, sharedLoad bool, off mechanism.Off) *linkBalancer {
	x := &linkBalancer{codec: &fixedCodec{}, now: linkEpoch}
	b, err := Listen(Settings{
		Fabric: "127.0.0.1:0", Zone: "a", Token: "group", Codec: x.codec, LinkBytesPerSecond: 250_000, SharedLoad: sharedLoad,
		Off: off, Clock: func() time.Time { return x.now },
	}, hclog.New(&hclog.LoggerOptions{Output: &x.log, JSONFormat: true}))
	require.NoError(t, err)
	t.Cleanup(b.socket.Close)
	x.Balancer = b
	require.NoError(t, b.router.Configure(configuration.Configuration{Revision: 1, Routes: []configuration.Route{
		{Name: "r", Address: linkRoute, Service: "orders", Class: configuration.Idempotent},
		{Name: "u", Address: linkUploads, Service: "orders", Class: configuration.Upload},
	}}))
	b.router.SetTargets(linkEpoch.Add(-time.Minute), []view.Target{{Live: true, Upstream: upstream.Upstream{
		Identity: upstream.Identity{Service: "orders", Incarnation: 77, Address: netip.MustParseAddrPort("127.0.0.1:9")},
		Zone:     "a", Slots: 2, State: upstream.Ready,
	}}})
	return x
}

func (x *linkBalancer) handlePacket(p router.Packet) {
	x.codec.packets = append(x.codec.packets, p)
	data := make([]byte, linkHeaderSize+p.Length)
	binary.BigEndian.PutUint32(data, uint32(len(x.codec.packets)-1))
	x.handle(x.now, 0, data)
	_ = x.socket.Flush()
	x.outputsUsed = 0
}

func linkCaller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 9)
}

func (x *linkBalancer) count(r router.Reason) int { return int(x.counts.decisions[r].Count()) }

// bytes returns the counted bytes of a kind.
func (x *linkBalancer) bytes(d linkbudget.Direction, k linkKind) int64 {
	x.metrics()
	return x.link.bytes[d][k].Count()
}

func (x *linkBalancer) metrics() string {
	w := httptest.NewRecorder()
	x.ServeMetrics(w, nil)
	return w.Body.String()
}

// 200 openings arrive at once at a link of 2 Mbit/s, which would carry their flows for 0.8 s. All
// were forwarded, and callers retransmitted what was queued.
func TestOpeningsBeyondLinkAreRejected(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	for n := range 200 {
		x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Opening: true})
	}
	placed := x.count(router.Placed)
	require.InDelta(t, 15, placed, 5)
	require.Equal(t, 200-placed, x.count(router.Busy))
	x.handlePacket(router.Packet{Caller: linkCaller(0), Address: linkRoute, Opening: true, Copy: 1})
	require.Equal(t, 1, x.count(router.Repeated), "the flow is stored here")
	x.handlePacket(router.Packet{Caller: linkCaller(150), Address: linkRoute, Opening: true, Copy: 1})
	require.Equal(t, 201-placed, x.count(router.Busy))
	x.handlePacket(router.Packet{Caller: linkCaller(300), Address: linkUploads, Opening: true})
	require.Equal(t, placed+1, x.count(router.Placed), "uploads are admitted by their pacing")

	out := x.metrics()
	require.Contains(t, out, "wasabideal_link_delay_milliseconds ")
	require.Contains(t, out, "wasabideal_link_use_percent ")
	require.EqualValues(t, 200-placed, x.link.rejected.Count())
	require.EqualValues(t, openingSize*201, x.bytes(linkbudget.In, kindOpenings))
	require.EqualValues(t, openingSize*2, x.bytes(linkbudget.In, kindRetransmitted))
	require.Zero(t, x.bytes(linkbudget.Out, kindRetransmitted), "the link has no room for a copy")
	// A copy that is rejected is not reset. Of the forwarded packets, only the copy and the upload's opening
	// come after the queue has filled.
	dropped := int(x.link.dropped.Count())
	require.EqualValues(t, forwardedSize*placed, x.bytes(linkbudget.Out, kindOpenings))
	require.EqualValues(t, openingSize*(200-placed-(dropped-2)), x.bytes(linkbudget.Out, kindResets))
	require.Greater(t, x.linkState().Delay, 40*time.Millisecond)

	x.logLinkAdmission(x.now)
	x.logLinkAdmission(x.now)
	for _, field := range []string{"Rejected", "Dropped", "LinkDelay", "Use"} {
		require.Contains(t, x.log.String(), `"`+field+`":`)
	}
	require.Equal(t, 1, strings.Count(x.log.String(), `"link admission"`))
	x.now = x.now.Add(time.Second)
	x.handlePacket(router.Packet{Caller: linkCaller(500), Address: linkRoute, Opening: true})
	require.Equal(t, placed+2, x.count(router.Placed), "the queue has drained")
}

// Guards against changes of a balancer that does not share its load, or whose decision is disabled.
func TestLinkAdmissionIsOffByDefault(t *testing.T) {
	off, err := mechanism.Parse("LinkAdmission")
	require.NoError(t, err)
	for _, x := range []*linkBalancer{newLinkBalancer(t, false, 0), newLinkBalancer(t, true, off)} {
		for n := range 200 {
			x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Opening: true})
		}
		require.Equal(t, 200, x.count(router.Placed))
		v := router.Verdict{Action: router.Forward, Reason: router.Repeated}
		for range 1000 {
			require.True(t, x.maySend(x.now, &v, 1200), "nothing is dropped")
		}
		require.NotContains(t, x.metrics(), "link_")
		require.Zero(t, x.linkState())
	}
}

// Guards against counting bytes twice: a flow placed here is counted when it is admitted, and the paced
// data of uploads by the pacing.
func TestBytesAreCountedOnce(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	cookie := router.Cookie(77, 0)
	x.handlePacket(router.Packet{Caller: linkCaller(1), Address: linkRoute, Opening: true})
	reserved := x.linkState().Delay
	request := router.Packet{Caller: linkCaller(1), Address: linkRoute, Cookie: cookie, Sequence: 1, Acknowledged: 1}
	x.handlePacket(request)
	request.Length = 400
	x.handlePacket(request)
	require.Equal(t, reserved, x.linkState().Delay)
	x.handlePacket(router.Packet{Caller: linkCaller(2), Address: linkUploads, Cookie: cookie, Sequence: 1, Acknowledged: 1, Length: 1200})
	require.Equal(t, reserved, x.linkState().Delay)
	require.EqualValues(t, openingSize+400+openingSize+1200, x.bytes(linkbudget.In, kindData))
	x.handlePacket(request)
	require.Greater(t, x.linkState().Delay, reserved, "a retransmission")
	require.EqualValues(t, openingSize+400, x.bytes(linkbudget.In, kindRetransmitted))
	before := x.linkState().Delay
	x.link.control.AddReceived(500)
	x.link.control.AddSent(5000)
	x.updateLink(x.now.Add(time.Microsecond))
	require.Greater(t, x.linkState().Delay, before, "control messages")
	require.EqualValues(t, 500, x.bytes(linkbudget.In, kindControl))
	require.EqualValues(t, 5000, x.bytes(linkbudget.Out, kindControl))
}

// A link of 2 Mbit/s holds 50 ms of packets, drops what exceeds them, and carries less of the rest: of
// 3,000 datagrams offered at 2.4 times the bandwidth 36 passed. Retransmitted openings, whose callers send
// further copies, displaced the packets of open flows.
func TestPacketsAreDroppedBeforeLinkIsFull(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	copied := router.Packet{Caller: linkCaller(1), Address: linkRoute, Opening: true}
	x.handlePacket(copied)
	x.now = x.now.Add(time.Second)
	copied.Copy = 1
	// The queue of the link in time, from the packets that were sent.
	queue := func() time.Duration {
		sent := int64(0)
		for k := range kindCount {
			sent += x.bytes(linkbudget.Out, k)
		}
		return time.Duration(float64(sent-forwardedSize) / 250_000 * float64(time.Second))
	}
	for range 200 {
		x.handlePacket(copied)
	}
	require.LessOrEqual(t, queue(), 25*time.Millisecond, "copies leave half of the queue to other packets")
	require.Greater(t, queue(), 15*time.Millisecond)
	copies := int(x.link.dropped.Count())
	require.EqualValues(t, forwardedSize*(200-copies), x.bytes(linkbudget.Out, kindRetransmitted))
	require.Contains(t, x.metrics(), "wasabideal_link_packets_dropped_total "+strconv.Itoa(copies))

	data := router.Packet{Caller: linkCaller(2), Address: linkRoute, Cookie: router.Cookie(77, 0), Sequence: 1, Acknowledged: 1, Length: 400}
	for range 200 {
		data.Sequence += 400
		x.handlePacket(data)
	}
	require.LessOrEqual(t, queue(), 50*time.Millisecond, "the link holds no more")
	require.Greater(t, queue(), 40*time.Millisecond)
	dropped := int(x.link.dropped.Count()) - copies
	require.EqualValues(t, (forwardedSize+400)*(200-dropped), x.bytes(linkbudget.Out, kindData))

	x.now = x.now.Add(100 * time.Millisecond)
	data.Sequence += 400
	x.handlePacket(data)
	x.handlePacket(copied)
	require.EqualValues(t, copies+dropped, x.link.dropped.Count(), "the queue has drained")
}

// Guards against control messages that are left out of the queue: packets that follow them would exceed
// what the link holds.
func TestControlMessagesFillTheQueueOfTheLink(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	v := router.Verdict{Action: router.Forward, Reason: router.Known}
	require.True(t, x.maySend(x.now, &v, 1000))
	x.link.control.AddSent(12_500)
	x.updateLink(x.now.Add(time.Microsecond))
	require.False(t, x.maySend(x.now.Add(time.Microsecond), &v, 100))
}

// Guards against data of uploads that is left out of the queue when the pacing sends it.
func TestPacedDataFillsTheQueueOfTheLink(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	v := router.Verdict{Action: router.Forward, Reason: router.Known}
	for range 10 {
		x.recordPacedSent(x.now, 1200)
	}
	require.False(t, x.maySend(x.now, &v, 100))
	x.now = x.now.Add(50 * time.Millisecond)
	require.True(t, x.maySend(x.now, &v, 100))
}

// While the link delays packets, their retransmissions are no evidence against upstreams.
func TestDelayedLinkSuspendsSuspicions(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	x.handlePacket(router.Packet{Caller: linkCaller(1), Address: linkRoute, Opening: true})
	x.now = x.now.Add(200 * time.Millisecond)
	x.link.control.AddSent(50_000)
	x.handlePacket(router.Packet{Caller: linkCaller(1), Address: linkRoute, Opening: true, Copy: 1})
	require.Zero(t, x.counts.suspicions.Count())
	require.Empty(t, x.router.Reports())
}

// The queue in front of a link delays handshakes beyond the callers' retransmission timeout, after which
// none was measured. All openings were admitted while requests of flows placed elsewhere filled the link.
func TestOpeningsPendingOnFullLinkRejectFlows(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	request := router.Packet{Caller: linkCaller(1), Address: linkRoute, Cookie: router.Cookie(77, 0), Acknowledged: 1, Length: 958}
	next, pending := 2, []int(nil)
	// pass receives the given number of bytes in each millisecond, and an opening in every tenth. It
	// returns how many openings were placed, and when the first one was.
	pass := func(d time.Duration, bytes int, completes bool) (placed int, first time.Duration) {
		start, received := x.now, 0
		for end := x.now.Add(d); x.now.Before(end); {
			x.now = x.now.Add(time.Millisecond)
			for received += bytes; received >= 1036; received -= 1036 {
				request.Sequence += uint32(request.Length)
				x.handlePacket(request)
			}
			if completes {
				for _, n := range pending {
					x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Cookie: request.Cookie, Sequence: 1, Acknowledged: 1})
				}
				pending = nil
			}
			if x.now.UnixMilli()%10 != 0 {
				continue
			}
			before := x.count(router.Placed)
			x.handlePacket(router.Packet{Caller: linkCaller(next), Address: linkRoute, Opening: true})
			if x.count(router.Placed) > before {
				pending = append(pending, next)
				if placed++; placed == 1 {
					first = x.now.Sub(start)
				}
			}
			next++
		}
		return placed, first
	}
	placed, _ := pass(time.Second, 120, true)
	require.Equal(t, 100, placed)
	placed, _ = pass(2*time.Second, 200, false)
	require.Less(t, placed, 25)
	require.Positive(t, placed)
	placed, first := pass(time.Second, 120, true)
	t.Logf("placed %d, the first one after %v", placed, first)
	require.Less(t, first, 500*time.Millisecond)
	require.Greater(t, placed, 50)
}

// Most flows on a link live long, and few are opened. Their later requests counted as the cost of new
// flows: a link at 0.4 of its bandwidth rejected openings, since each was assumed to cost as many bytes
// as it carried between two openings.
func TestLongLivedFlowsDoNotCloseLink(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	cookie := router.Cookie(77, 0)
	const flows = 50
	sequence := [flows]uint32{}
	for n := range flows {
		x.now = x.now.Add(20 * time.Millisecond)
		x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Opening: true})
		x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Cookie: cookie, Sequence: 1, Acknowledged: 1})
		sequence[n] = 1
	}
	placed, opened, highest := x.count(router.Placed), 0, time.Duration(0)
	for i := range 30_000 {
		x.now = x.now.Add(time.Millisecond)
		if i%10 == 0 {
			n := i / 10 % flows
			x.handlePacket(router.Packet{
				Caller: linkCaller(n), Address: linkRoute, Cookie: cookie, Sequence: sequence[n], Acknowledged: uint32(i + 2), Length: 922,
			})
			sequence[n] += 922
		}
		if i > 10_000 && (i%600 == 0 || i%600 == 5) {
			opened++
			caller := linkCaller(1000 + i)
			x.handlePacket(router.Packet{Caller: caller, Address: linkRoute, Opening: true})
			x.handlePacket(router.Packet{Caller: caller, Address: linkRoute, Cookie: cookie, Sequence: 1, Acknowledged: 1})
		}
		highest = max(highest, x.linkState().Delay)
	}
	t.Logf("use %.2f, queue up to %v, flow assumed to cost %d bytes", x.linkState().Use, highest, x.link.budget.Cost(linkbudget.Idempotent, linkbudget.In))
	require.Equal(t, opened, x.count(router.Placed)-placed)
	require.Zero(t, x.count(router.Busy))
	require.Less(t, highest, 20*time.Millisecond)
}

func BenchmarkRecordOnLink(b *testing.B) {
	x := newLinkBalancer(b, true, 0)
	p := router.Packet{Caller: linkCaller(1), Address: linkRoute, Cookie: router.Cookie(77, 0), Sequence: 1, Acknowledged: 1}
	v := router.Verdict{Action: router.Forward, Reason: router.Known, OpenedHere: true}
	now := linkEpoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(400 * time.Microsecond)
		x.recordOnLink(now, linkbudget.In, &p, &v, 100)
		x.recordOnLink(now, linkbudget.Out, &p, &v, 108)
	}
}

// BenchmarkCheckLink measures the decision on an opening of an idle and of a busy link.
func BenchmarkCheckLink(b *testing.B) {
	for name, busy := range map[string]bool{"idle": false, "busy": true} {
		b.Run(name, func(b *testing.B) {
			x := newLinkBalancer(b, true, 0)
			p := router.Packet{Caller: linkCaller(1), Address: linkRoute, Opening: true}
			placed := router.Verdict{Action: router.Forward, Reason: router.Placed}
			now := linkEpoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(4 * time.Millisecond)
				if busy {
					x.link.budget.RecordOther(now, linkbudget.Out, 5000)
				}
				if _, rejected := x.checkLink(now, p); !rejected {
					x.admitToLink(now, p, placed)
					x.link.budget.RecordCompleted(now)
					x.recordOnLink(now, linkbudget.In, &p, &placed, 800)
					x.recordOnLink(now, linkbudget.Out, &p, &placed, 800)
				}
			}
		})
	}
}

// Guards against rejections and dropped packets after an outage, when all callers return at once: three
// times as many of their requests failed.
func TestLinkRejectsNothingBeforeRouterIsSettled(t *testing.T) {
	x := newLinkBalancer(t, true, 0)
	x.now = x.now.Add(time.Second - time.Minute)
	for n := range 200 {
		x.handlePacket(router.Packet{Caller: linkCaller(n), Address: linkRoute, Opening: true})
	}
	require.Equal(t, 200, x.count(router.Placed))
	require.Zero(t, x.count(router.Busy))
	require.Zero(t, x.link.dropped.Count())
}
