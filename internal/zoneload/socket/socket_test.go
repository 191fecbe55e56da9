package socket_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/member/seal"
	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/socket"
)

const timeout = 20 * time.Second

// recorder answers reports and records what it receives.
type recorder struct {
	mu      sync.Mutex
	reports []report.Report
	queued  []time.Duration
	answers []report.Answer
	errors  []error
}

func (r *recorder) OnReport(x report.Report, queued time.Duration) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports, r.queued = append(r.reports, x), append(r.queued, queued)
	body, err := report.Answer{Sequence: x.Sequence}.Encode()
	if err != nil {
		r.errors = append(r.errors, err)
	}
	return [][]byte{body}
}

func (r *recorder) OnAnswer(_ netip.AddrPort, a report.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

func (r *recorder) OnError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err)
}

// seen reports whether a condition holds.
func (r *recorder) seen(condition func() bool) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return condition()
	}
}

func listen(t *testing.T) *socket.Socket {
	s, err := socket.Listen("127.0.0.1:0", "token")
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func serve(s *socket.Socket) *recorder {
	r := &recorder{}
	go s.Serve(r)
	return r
}

func sample(sequence uint64) report.Report {
	return report.Report{
		Origin: "10.0.0.1:7720", Life: 7, Sequence: sequence, Zone: "a", Balancers: 1,
		Services: []report.Service{{Name: "orders", Occupied: map[string]float64{"a": 12, "b": 3}}},
	}
}

func TestReportIsAnswered(t *testing.T) {
	sender, receiver := listen(t), listen(t)
	got, answered := serve(receiver), serve(sender)
	require.NoError(t, sender.Send(sample(3), []string{receiver.Address().String()}))
	require.Eventually(t, answered.seen(func() bool { return len(answered.answers) == 1 }), timeout, time.Millisecond)
	require.Equal(t, uint64(3), answered.answers[0].Sequence)
	got.mu.Lock()
	defer got.mu.Unlock()
	require.Equal(t, []report.Report{sample(3)}, got.reports)
}

// Datagrams of other senders and of newer builds arrive at the same port: they must not be taken for
// load, and the socket must serve on.
func TestInvalidDatagramsAreDropped(t *testing.T) {
	sender, receiver := listen(t), listen(t)
	got := serve(receiver)
	c, err := net.Dial("udp4", receiver.Address().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	valid, err := socket.EncodeReport(socket.NewSigner("token"), sample(1))
	require.NoError(t, err)
	foreign, err := socket.EncodeReport(socket.NewSigner("other"), sample(1))
	require.NoError(t, err)
	signer := socket.NewSigner("token")
	for _, data := range [][]byte{
		foreign, valid[:len(valid)-1], {1}, {}, signer.Sign([]byte{9, 0x80}), signer.Sign([]byte{1, 0xff}), make([]byte, 4000),
	} {
		_, err := c.Write(data)
		require.NoError(t, err)
	}
	require.NoError(t, sender.Send(sample(2), []string{receiver.Address().String()}))
	require.Eventually(t, got.seen(func() bool { return len(got.reports) == 1 }), timeout, time.Millisecond)
	require.Len(t, got.errors, 7)
	for i, target := range []any{
		new(seal.BrokenError), new(seal.BrokenError), new(seal.BrokenError), new(seal.BrokenError),
		new(*socket.KindError), new(*report.DecodeError), new(*socket.OversizeError),
	} {
		require.ErrorAs(t, got.errors[i], target, i)
	}
}

// A process that was suspended reads reports that are seconds old: without the time that they waited,
// they look new.
func TestTimeInReceiveQueueIsReported(t *testing.T) {
	sender, receiver := listen(t), listen(t)
	// The kernel may stamp datagrams late in the first moments of a socket.
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, sender.Send(sample(1), []string{receiver.Address().String()}))
	time.Sleep(300 * time.Millisecond)
	got := serve(receiver)
	require.Eventually(t, got.seen(func() bool { return len(got.queued) == 1 }), timeout, time.Millisecond)
	require.GreaterOrEqual(t, got.queued[0], 290*time.Millisecond)
}

// One receiver whose address cannot be used must not keep the others from their report.
func TestInvalidReceiverDoesNotStopOthers(t *testing.T) {
	sender, receiver := listen(t), listen(t)
	got := serve(receiver)
	err := sender.Send(sample(1), []string{"voter:7720", receiver.Address().String()})
	var invalid *socket.AddressError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "voter:7720", invalid.Address)
	require.Eventually(t, got.seen(func() bool { return len(got.reports) == 1 }), timeout, time.Millisecond)
}

// A port that is in use must give an error by which the caller goes on without the exchange.
func TestPortInUse(t *testing.T) {
	s := listen(t)
	_, err := socket.Listen(s.Address().String(), "token")
	var failed *socket.ListenError
	require.ErrorAs(t, err, &failed)
}

// Serve must end when the socket is closed: the process waits for it when it stops.
func TestCloseEndsServe(t *testing.T) {
	s := listen(t)
	ended := make(chan struct{})
	go func() {
		s.Serve(&recorder{})
		close(ended)
	}()
	s.Close()
	select {
	case <-ended:
	case <-time.After(timeout):
		t.Fatal("Serve did not end")
	}
}

// A datagram that is valid but for its content must neither crash the decoder nor be encoded longer
// than the limit.
func FuzzDecode(f *testing.F) {
	signer := socket.NewSigner("token")
	r, err := socket.EncodeReport(signer, sample(1))
	require.NoError(f, err)
	body, err := report.Answer{Sequence: 4, Zones: []report.Zone{{
		Name: "a", Age: 40 * time.Millisecond, Balancers: 2, Known: 3, Services: sample(1).Services,
	}}}.Encode()
	require.NoError(f, err)
	a := signer.Sign(append([]byte{2}, body...))
	for _, data := range [][]byte{r, a, {3}, {1, 0x80}, {}} {
		f.Add(data[:max(len(data)-seal.Size, 0)], data)
	}
	f.Fuzz(func(t *testing.T, body, raw []byte) {
		if _, err := socket.Decode(signer, raw); err != nil {
			require.NotEmpty(t, err.Error())
		}
		m, err := socket.Decode(signer, signer.Sign(body))
		switch {
		case err != nil:
			require.NotEmpty(t, err.Error())
		case m.Report != nil:
			out, err := socket.EncodeReport(signer, *m.Report)
			require.NoError(t, err)
			require.LessOrEqual(t, len(out), socket.MaxSize)
		default:
			p, err := report.Prepare(m.Answer.Zones)
			require.NoError(t, err)
			out, err := p.Encode(m.Answer.Sequence, "a")
			require.NoError(t, err)
			for _, data := range out {
				require.LessOrEqual(t, len(data), report.MaxSize)
			}
		}
	})
}
