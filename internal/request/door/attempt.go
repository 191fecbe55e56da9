package door

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabideal/internal/request/dispatch"
	"wasabideal/internal/request/keys"
)

// attempt sends the request to one upstream. It returns done if the caller got a response, and
// retry if the request can safely be sent again: it did not run, or it is idempotent.
func (p *Proxy) attempt(ctx context.Context, x *exchange, target string, try int) (retry, done bool) {
	start := p.settings.Clock()
	sent := &sentFlag{}
	response, err := p.send(ctx, x, target, sent)
	if err != nil {
		return p.handleFailure(ctx, x, target, sent, err)
	}
	defer func() { _ = response.Body.Close() }()
	took := func() time.Duration { return p.settings.Clock().Sub(start) }
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(OutcomeHeader) == OutcomeNotRun {
		p.Counters.Shed.Add(1)
		p.done(target, dispatch.Shed, took())
		x.excluded = []string{target}
		return x.replayable, false
	}
	result := dispatch.Answered
	if response.StatusCode >= http.StatusInternalServerError {
		result = dispatch.Failed
	}
	if result == dispatch.Failed && x.idempotent && x.replayable && try < maxAttempts && p.takeRetry() {
		p.Counters.Retried.Add(1)
		p.done(target, result, took())
		x.excluded = append(x.excluded, target)
		return true, false
	}
	defer func() { p.done(target, result, took()) }()
	p.forwardResponse(x, response)
	return false, true
}

// handleFailure handles an attempt without a response. A request that was not sent may
// go to another upstream. A request that may have reached the upstream is retried only if
// the request may run twice. The results are those of attempt.
func (p *Proxy) handleFailure(ctx context.Context, x *exchange, target string, sent *sentFlag, err error) (retry, done bool) {
	result := dispatch.Failed
	if x.request.Context().Err() != nil {
		result = dispatch.Cancelled
	}
	p.done(target, result, 0)
	x.excluded = append(x.excluded, target)
	if !sent.get() {
		return ctx.Err() == nil, false
	}
	if ctx.Err() == nil && x.replayable && x.idempotent && p.takeRetry() {
		p.Counters.Retried.Add(1)
		return true, false
	}
	if x.request.Context().Err() != nil {
		p.Counters.Cancelled.Add(1)
	}
	p.respondUnknown(x, err)
	return false, true
}

// NoAddressError reports that an upstream was removed after it was selected.
type NoAddressError struct{ Target string }

func (p *Proxy) send(ctx context.Context, x *exchange, target string, sent *sentFlag) (*http.Response, error) {
	address := p.addressOf(target)
	if address == "" {
		return nil, &NoAddressError{Target: target}
	}
	url := "http://" + address + x.request.URL.RequestURI()
	var body io.Reader = bytes.NewReader(x.body)
	if !x.replayable {
		body = io.MultiReader(body, x.unreadBody)
	}
	r, err := http.NewRequestWithContext(sent.trace(ctx), x.request.Method, url, io.NopCloser(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header = x.request.Header.Clone()
	dropHopHeaders(r.Header)
	r.Host = x.request.Host
	if x.replayable {
		r.ContentLength = int64(len(x.body))
	} else {
		r.ContentLength = x.request.ContentLength
	}
	left := x.deadline.Sub(p.settings.Clock()) - hopMargin
	r.Header.Set("Prefer", "wait="+strconv.FormatFloat(max(left.Seconds(), 0.001), 'f', 3, 64))
	transport := p.oneShotTransport
	if x.idempotent {
		transport = p.transport
	}
	return transport.RoundTrip(r)
}

// dropHopHeaders removes hop-by-hop headers (RFC 9110, 7.6.1).
func dropHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"} {
		h.Del(name)
	}
}

// forwardResponse streams the response to the caller. If the upstream's response is
// cut off, the caller's connection is aborted, because a truncated response that ends
// normally looks complete.
func (p *Proxy) forwardResponse(x *exchange, response *http.Response) {
	dropHopHeaders(response.Header)
	h := x.writer.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(OutcomeHeader, OutcomeAnswered)
	x.writer.WriteHeader(response.StatusCode)
	stored := &limitedBuffer{limit: storedResponseLimit}
	_, err := io.CopyBuffer(x.writer, io.TeeReader(response.Body, stored), make([]byte, copyBuffer))
	if err != nil {
		p.Counters.Truncated.Add(1)
		panic(http.ErrAbortHandler)
	}
	p.Counters.Answered.Add(1)
	if x.claimed {
		x.record.Answer = &keys.Answer{
			Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: stored.body, Whole: !stored.overflow,
		}
		p.claimer.Finish(x.request.Context(), x.record)
	}
}
