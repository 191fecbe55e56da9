package requester

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	outcomeHeader    = "Wasabideal-Outcome"
	answered         = "Answered"
	notRun           = "NotRun"
	unknown          = "Unknown"
	maxAttempts      = 12
	maxPause         = 200 * time.Millisecond
	maxResponseBytes = 1 << 16
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// duplicateShare is the share of requests that are sent twice concurrently.
	duplicateShare = 0.1
)

// Settings configures the clients.
type Settings struct {
	Service string
	// HTTPAddresses returns the HTTP addresses of the balancers; each attempt goes to a random
	// address.
	HTTPAddresses func() []string
	// Runs returns how often the upstreams have run the request with a key.
	Runs    func(key string) int
	Timeout time.Duration
	Seed    uint64
}

// Counts holds the reported outcomes and the violations that were found.
type Counts struct {
	// Answered, NotRun and Unknown count attempts by reported outcome. Lost counts attempts without
	// a response.
	Requests, Answered, NotRun, Unknown, Lost int
	// LeftUnknown counts requests whose last attempt had the outcome Unknown. This outcome is
	// correct if, for example, the balancer crashed after forwarding. Unanswered counts the other
	// requests that got no answer.
	Unanswered, LeftUnknown int
	// WrongBody counts answers with an unexpected body. FalseNotRun counts attempts reported as
	// NotRun although the request had run. DoubleRun counts requests that ran more than once.
	WrongBody, FalseNotRun, DoubleRun int
	P50, P99, P999                    time.Duration
}

// Requester sends requests and records their outcomes.
type Requester struct {
	settings  Settings
	client    *http.Client
	mu        sync.Mutex
	random    *rand.Rand
	counts    Counts
	keys      []string
	histogram *hdrhistogram.Histogram
	wg        sync.WaitGroup
}

// New returns a requester; Run starts sending.
func New(s Settings) *Requester {
	return &Requester{
		settings: s, random: rand.New(rand.NewPCG(s.Seed, 4)), histogram: hdrhistogram.New(1, maxLatencyMicros, 3),
		client: &http.Client{Timeout: s.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

// Run sends requests at a rate per second until the context is done. It then waits for the requests
// in progress.
func (r *Requester) Run(ctx context.Context, rate float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			r.wg.Wait()
			return
		case <-t.C:
			key := fmt.Sprintf("%s-%d-%d", r.settings.Service, r.settings.Seed, n)
			r.start(key)
		}
	}
}

func (r *Requester) start(key string) {
	r.mu.Lock()
	r.counts.Requests++
	r.keys = append(r.keys, key)
	duplicate := r.random.Float64() < duplicateShare
	r.mu.Unlock()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.sendUntilAnswered(key)
	}()
	if duplicate {
		r.wg.Add(1)
		go func() {
			defer r.wg.Done()
			_ = r.send(key)
		}()
	}
}

// sendUntilAnswered sends a request at most maxAttempts times, with the same key, until it is
// answered.
func (r *Requester) sendUntilAnswered(key string) {
	begin := time.Now()
	outcome := ""
	for range maxAttempts {
		outcome = r.send(key)
		if outcome == answered {
			r.mu.Lock()
			_ = r.histogram.RecordValue(time.Since(begin).Microseconds())
			r.mu.Unlock()
			return
		}
		r.mu.Lock()
		pause := time.Duration(r.random.Int64N(int64(maxPause)))
		r.mu.Unlock()
		time.Sleep(pause)
	}
	r.update(func(c *Counts) {
		if outcome == unknown {
			c.LeftUnknown++
			return
		}
		c.Unanswered++
	})
}

func (r *Requester) update(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Requester) randomAddress() string {
	addresses := r.settings.HTTPAddresses()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[r.random.IntN(len(addresses))]
}

// send sends a request once, verifies the response and returns the reported outcome. Without a
// response, the outcome is empty.
func (r *Requester) send(key string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+r.randomAddress()+"/nominate", strings.NewReader("barge for "+key))
	if err != nil {
		return ""
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := r.client.Do(request)
	if err != nil {
		r.update(func(c *Counts) { c.Lost++ })
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		r.update(func(c *Counts) { c.Lost++ })
		return ""
	}
	return r.checkResponse(key, response, string(body))
}

func (r *Requester) checkResponse(key string, response *http.Response, body string) string {
	outcome := response.Header.Get(outcomeHeader)
	switch outcome {
	case answered:
		want := fmt.Sprintf("%s %s barge for %s\n", r.settings.Service, key, key)
		r.update(func(c *Counts) {
			c.Answered++
			if body != want {
				c.WrongBody++
			}
		})
	case notRun:
		ran := r.settings.Runs(key) > 0
		r.update(func(c *Counts) {
			c.NotRun++
			if ran {
				c.FalseNotRun++
			}
		})
	default:
		r.update(func(c *Counts) { c.Unknown++ })
	}
	return outcome
}

// Counts returns the counts so far.
func (r *Requester) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	for _, key := range r.keys {
		if r.settings.Runs(key) > 1 {
			c.DoubleRun++
		}
	}
	at := func(q float64) time.Duration {
		return time.Duration(r.histogram.ValueAtQuantile(q)) * time.Microsecond
	}
	c.P50, c.P99, c.P999 = at(50), at(99), at(99.9)
	return c
}
