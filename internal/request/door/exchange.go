package door

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/request/claimer"
	"wasabideal/internal/request/keys"
)

// exchange is the state of one proxied request.
type exchange struct {
	writer     http.ResponseWriter
	request    *http.Request
	id         uint64
	record     keys.Record
	claimed    bool
	idempotent bool
	// replayable is set if body is the complete request body; otherwise unreadBody is the rest.
	replayable bool
	body       []byte
	unreadBody io.Reader
	deadline   time.Time
	arrived    time.Time
	excluded   []string
}

// BadRequestError reports an invalid request.
type BadRequestError struct{ Reason string }

func (e *BadRequestError) Error() string { return e.Reason }

func (p *Proxy) newExchange(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	now := p.settings.Clock()
	x := &exchange{writer: w, request: r, arrived: now}
	timeout, err := parseTimeout(r)
	if err != nil {
		return nil, err
	}
	x.deadline = now.Add(timeout)
	key := r.Header.Get(KeyHeader)
	if len(key) > maxKeyBytes {
		return nil, &BadRequestError{Reason: fmt.Sprintf("%s is longer than %d bytes", KeyHeader, maxKeyBytes)}
	}
	x.body, err = io.ReadAll(io.LimitReader(r.Body, replayLimit+1))
	if err != nil {
		return nil, &BadRequestError{Reason: "body cannot be read: " + err.Error()}
	}
	x.replayable = len(x.body) <= replayLimit
	x.unreadBody = r.Body
	p.mu.Lock()
	x.idempotent = key == "" && (p.repeatable || isIdempotent(r.Method))
	p.lastID++
	x.id = p.lastID
	p.mu.Unlock()
	x.record = keys.Record{
		Service: p.settings.Service, Key: key, Attempt: fmt.Sprintf("%s/%d/%d", p.settings.Name, now.UnixNano(), x.id),
		Fingerprint: xxhash.Sum64String(r.Method+" "+r.URL.RequestURI()+"\n") ^ xxhash.Sum64(x.body),
	}
	return x, nil
}

// isIdempotent reports whether a method is idempotent (RFC 9110, 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// parseTimeout returns the caller's timeout from Prefer: wait=SECONDS (RFC 7240, 4.3).
func parseTimeout(r *http.Request) (time.Duration, error) {
	for _, p := range strings.Split(r.Header.Get("Prefer"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(p), "wait=")
		if !ok {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds <= 0 {
			return 0, &BadRequestError{Reason: "Prefer: wait must be seconds above 0"}
		}
		return min(time.Duration(seconds*float64(time.Second)), maxTimeout), nil
	}
	return defaultTimeout, nil
}

// claim claims the request's key and reports whether the request may be sent. If not, claim
// responds with the outcome of the request that holds the key, or rejects the request.
func (p *Proxy) claim(ctx context.Context, x *exchange) bool {
	result := p.claimer.Claim(ctx, x.record)
	switch result.Outcome {
	case claimer.Granted:
		x.claimed = true
		return true
	case claimer.Taken:
		p.respondTaken(x, result.Record)
	case claimer.Rejected:
		p.respondNotRun(x, result.Reason, defaultRetryAfter)
	}
	return false
}

func (p *Proxy) respondTaken(x *exchange, r keys.Record) {
	p.Counters.Repeated.Add(1)
	h := x.writer.Header()
	h.Set(RepeatHeader, "true")
	switch {
	case r.Fingerprint != x.record.Fingerprint:
		http.Error(x.writer, "the key was used for another request", http.StatusUnprocessableEntity)
	case r.State == keys.Answered && r.Answer != nil && r.Answer.Whole:
		h.Set(OutcomeHeader, OutcomeAnswered)
		h.Set("Content-Type", r.Answer.ContentType)
		x.writer.WriteHeader(r.Answer.Status)
		_, _ = x.writer.Write(r.Answer.Body)
	case r.State == keys.Answered:
		h.Set(OutcomeHeader, OutcomeAnswered)
		http.Error(x.writer, "the request ran; its answer was too long to keep", http.StatusConflict)
	default:
		h.Set(OutcomeHeader, OutcomeUnknown)
		h.Set("Retry-After", "1")
		http.Error(x.writer, "a request with this key is under way or its fate is unknown", http.StatusConflict)
	}
}

func (p *Proxy) respondNotRun(x *exchange, reason string, retryAfter time.Duration) {
	p.Counters.NotRun.Add(1)
	h := x.writer.Header()
	h.Set(OutcomeHeader, OutcomeNotRun)
	h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	http.Error(x.writer, "not run: "+reason, http.StatusServiceUnavailable)
}

func (p *Proxy) respondUnknown(x *exchange, err error) {
	p.Counters.Unknown.Add(1)
	x.writer.Header().Set(OutcomeHeader, OutcomeUnknown)
	http.Error(x.writer, "unknown: the request was sent and its answer was lost: "+err.Error(), http.StatusGatewayTimeout)
}

func (e *NoAddressError) Error() string {
	return "upstream " + e.Target + " has no HTTP address any more"
}
