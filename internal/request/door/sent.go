package door

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// sentFlag records whether any byte of a request may have reached an upstream.
type sentFlag struct{ sent atomic.Bool }

func (s *sentFlag) get() bool { return s.sent.Load() }

// trace returns a context that sets the flag when a connection is assigned to the
// request: any byte written after that may arrive, whatever error follows.
func (s *sentFlag) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { s.sent.Store(true) },
	})
}

// limitedBuffer buffers a response body, or nothing if the body exceeds limit.
type limitedBuffer struct {
	limit    int
	body     []byte
	overflow bool
}

// Write appends b to the buffer. It never fails.
func (l *limitedBuffer) Write(b []byte) (int, error) {
	if l.overflow || len(l.body)+len(b) > l.limit {
		l.overflow, l.body = true, nil
		return len(b), nil
	}
	l.body = append(l.body, b...)
	return len(b), nil
}
