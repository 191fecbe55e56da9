package door_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/model/roster"
	"wasabideal/internal/request/claimer"
	"wasabideal/internal/request/dispatch"
	"wasabideal/internal/request/door"
	"wasabideal/internal/request/keys"
)

// localStore is the key store of a roster with a single balancer.
type localStore struct {
	mu   sync.Mutex
	keys *keys.Store
}

func (s *localStore) Claim(_ context.Context, _ roster.Member, epoch uint64, r keys.Record) (keys.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.Claim(time.Now(), epoch, r)
}

func (s *localStore) Release(_ context.Context, _ roster.Member, r keys.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Release(r.Service, r.Key, r.Attempt)
}

func (s *localStore) Finish(_ context.Context, _ roster.Member, r keys.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.Finish(time.Now(), r)
}

// fixture is a Proxy with test servers as upstreams.
type fixture struct {
	t      *testing.T
	proxy  *door.Proxy
	server *httptest.Server
}

func newFixture(t *testing.T, upstreams ...http.HandlerFunc) *fixture {
	k := keys.New(time.Minute, 100)
	k.SetEpoch(1)
	view := roster.NewView(roster.Roster{Version: 1, Epoch: 1, Members: []roster.Member{
		{Name: "b1", Start: 1, Rpc: netip.MustParseAddrPort("127.0.0.1:1")},
	}})
	c := claimer.New(&localStore{keys: k}, time.Second, func() roster.View { return view })
	limits := dispatch.Settings{SlotLimit: 2, QueueLimit: 4, RetryPercent: 100}
	d := door.New(door.Settings{Service: "orders", Name: "b1", Limits: limits, Clock: time.Now}, c, hclog.NewNullLogger())
	var targets []dispatch.Target
	addresses := map[string]string{}
	for i, h := range upstreams {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		name := fmt.Sprintf("u%d", i)
		targets = append(targets, dispatch.Target{Name: name, Slots: 2, Share: 1, AssignedSlots: 2})
		addresses[name] = strings.TrimPrefix(s.URL, "http://")
	}
	d.SetTargets(limits, targets, addresses)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Run(ctx)
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	return &fixture{t: t, proxy: d, server: s}
}

// reply is the status and the headers of a response.
type reply struct {
	StatusCode int
	Header     http.Header
}

func (f *fixture) post(key, body string, headers ...string) (reply, string, error) {
	r, err := http.NewRequest(http.MethodPost, f.server.URL+"/nominate", strings.NewReader(body))
	require.NoError(f.t, err)
	if key != "" {
		r.Header.Set(door.KeyHeader, key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{}, "", err
	}
	defer func() { _ = response.Body.Close() }()
	b, err := io.ReadAll(response.Body)
	return reply{StatusCode: response.StatusCode, Header: response.Header}, string(b), err
}

func outcome(r reply) string { return r.Header.Get(door.OutcomeHeader) }

func echo(runs *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		b, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "ran %s", b)
	}
}

func TestRepeatGetsTheStoredResponse(t *testing.T) {
	var runs atomic.Int32
	e := newFixture(t, echo(&runs))
	for i := range 3 {
		r, body, err := e.post("k", "barge")
		require.NoError(t, err)
		require.Equal(t, door.OutcomeAnswered, outcome(r))
		require.Equal(t, "ran barge", body)
		require.Equal(t, i > 0, r.Header.Get(door.RepeatHeader) == "true")
	}
	require.EqualValues(t, 1, runs.Load())
	r, _, err := e.post("k", "another barge")
	require.NoError(t, err)
	require.Equal(t, http.StatusUnprocessableEntity, r.StatusCode)
}

// An upstream closes a reused connection without a response. http.Transport resends a request
// with an Idempotency-Key by itself, so the upstream would run twice a request that the caller
// sent once.
func TestTransportDoesNotResendKeyedRequests(t *testing.T) {
	var runs atomic.Int32
	e := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			_, _ = w.Write([]byte("first"))
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = c.Close()
		}
	})
	_, _, err := e.post("a", "")
	require.NoError(t, err)
	r, _, err := e.post("b", "")
	require.NoError(t, err)
	require.Equal(t, door.OutcomeUnknown, outcome(r))
	require.EqualValues(t, 2, runs.Load())
	r, _, err = e.post("b", "")
	require.NoError(t, err)
	require.Equal(t, door.OutcomeUnknown, outcome(r), "a repeat after an unknown outcome does not run")
	require.EqualValues(t, 2, runs.Load())
}

// An upstream fails in the middle of a long response. If the caller's connection ended
// normally, the truncated response would look complete.
func TestTruncatedResponseAbortsTheConnection(t *testing.T) {
	e := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 100_000))
		panic(http.ErrAbortHandler)
	})
	_, _, err := e.post("", "x")
	require.Error(t, err)
}

func TestShedRequestIsRetriedOnAnotherUpstream(t *testing.T) {
	var runs atomic.Int32
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(door.OutcomeHeader, door.OutcomeNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e := newFixture(t, refuse, echo(&runs), refuse)
	for i := range 10 {
		r, body, err := e.post(fmt.Sprint("key", i), "x")
		require.NoError(t, err)
		require.Equal(t, door.OutcomeAnswered, outcome(r), body)
	}
	require.EqualValues(t, 10, runs.Load())
}

// Requests without a response take all slots and fill the queue. A further request would wait
// until its deadline, so it must be rejected at once and its key released.
func TestRequestThatCannotMeetItsDeadlineIsRejectedAtOnce(t *testing.T) {
	release := make(chan struct{})
	e := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = w.Write([]byte("done"))
	})
	var wg sync.WaitGroup
	for range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _, _ = e.post("", "slow", "Prefer", "wait=30")
		}()
	}
	require.Eventually(t, func() bool { return e.proxy.Counters.Requests.Load() == 6 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		r, _, err := e.post("k", "x", "Prefer", "wait=30")
		return err == nil && outcome(r) == door.OutcomeNotRun && r.Header.Get("Retry-After") != ""
	}, 5*time.Second, 10*time.Millisecond)
	close(release)
	wg.Wait()
	r, _, err := e.post("k", "x")
	require.NoError(t, err)
	require.Equal(t, door.OutcomeAnswered, outcome(r))
}

func TestCallerDisconnectCancelsTheUpstreamRequest(t *testing.T) {
	cancelled := make(chan struct{})
	begun := make(chan struct{})
	e := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(begun)
		<-r.Context().Done()
		close(cancelled)
	})
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL, strings.NewReader("x"))
	require.NoError(t, err)
	go func() {
		<-begun
		cancel()
	}()
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // there is no response
	require.Error(t, err)
	<-cancelled
}

func TestForwardedTimeoutIsReduced(t *testing.T) {
	seen := make(chan string, 1)
	e := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Prefer") })
	_, _, err := e.post("", "x", "Prefer", "wait=2")
	require.NoError(t, err)
	var wait float64
	_, err = fmt.Sscanf(<-seen, "wait=%f", &wait)
	require.NoError(t, err)
	require.Less(t, wait, 2.0)
	require.Greater(t, wait, 0.5)
}

func TestBadRequestsAreRejected(t *testing.T) {
	var runs atomic.Int32
	e := newFixture(t, echo(&runs))
	for _, headers := range [][]string{{"Prefer", "wait=soon"}, {"Prefer", "wait=-1"}, {door.KeyHeader, strings.Repeat("k", 200)}} {
		r, _, err := e.post("", "x", headers...)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, r.StatusCode)
	}
	require.Zero(t, runs.Load())
}
