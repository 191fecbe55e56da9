package rpc

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/samber/lo"
	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

type request struct {
	Token string
	Body  cbor.RawMessage `cbor:",omitempty"`
	// Compressed says that the answer may be; earlier versions ask for none.
	Compressed bool
	// Packed is the body in S2's block format, in place of Body.
	Packed []byte `cbor:",omitempty"`
}

// packFrom is the size in bytes from which a call's body is compressed. Twenty announcements
// that a balancer hands on are 1,400 bytes and repeat names of services and zones: 700
// compressed.
const packFrom = 512

// newRequest returns the call that carries a body.
func newRequest(token string, body []byte) *request {
	r := &request{Token: token, Compressed: true}
	if len(body) < packFrom {
		r.Body = body
	} else {
		r.Packed = s2.Encode(nil, body)
	}
	return r
}

// body returns the body of a call.
func (r request) body() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Body, nil
	}
	return unpack(r.Packed)
}

type response struct {
	Body  cbor.RawMessage `cbor:",omitempty"`
	Kind  string
	Error string
	// Compressed is the body in S2's block format, in place of Body.
	Compressed []byte `cbor:",omitempty"`
}

// compressFrom is the size in bytes from which answers are compressed. A balancer that
// starts gets all upstreams and the configuration, 20 kB for 220 upstreams and 70
// routes, which take 80 ms on a link of 2 Mbit/s, and half of that compressed. Smaller
// answers are deltas, for which it would only cost time.
const compressFrom = 2 << 10

// newResponse returns the answer that carries a body.
func newResponse(body []byte, compressed bool) *response {
	if !compressed || len(body) < compressFrom {
		return &response{Body: body}
	}
	return &response{Compressed: s2.Encode(nil, body)}
}

// body returns the body of an answer.
func (r response) body() ([]byte, error) {
	if len(r.Compressed) == 0 {
		return r.Body, nil
	}
	return unpack(r.Compressed)
}

func unpack(b []byte) ([]byte, error) {
	size, err := s2.DecodedLen(b)
	if err != nil || size > bodyMost {
		return nil, &OversizeError{Size: size}
	}
	return s2.Decode(nil, b)
}

// bodyMost bounds what a compressed answer may unfold to, in bytes: configurations of
// tens of thousands of routes fit.
const bodyMost = 64 << 20

// OversizeError says that a compressed answer does not fit, or is none.
type OversizeError struct{ Size int }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("compressed answer of %d bytes; allowed: %d", e.Size, bodyMost)
}

type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

func (encoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

// DeniedError says that a call needs a token that the caller lacks.
type DeniedError struct{ Method string }

func (e *DeniedError) Error() string {
	return fmt.Sprintf("%s needs a token that the caller does not have; set Token in the settings or pass --token", e.Method)
}

// UnknownMethodError says that the process does not serve a method.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string {
	return e.Method + " is not served here; check the address and the version"
}

type method struct {
	token string
	call  func(ctx context.Context, body []byte) (any, error)
	calls *atomic.Int64
}

// Server answers calls; all methods are set before it serves.
type Server struct {
	methods map[string]method
	denied  func(method string)
}

// NewServer returns a server without methods; denied is told of refused calls.
func NewServer(denied func(method string)) *Server {
	return &Server{methods: map[string]method{}, denied: denied}
}

// Handle adds a method that needs the token; an empty token admits nobody.
func Handle[In, Out any](s *Server, name, token string, f func(ctx context.Context, in In) (Out, error)) {
	s.methods[name] = method{token: token, calls: &atomic.Int64{}, call: func(ctx context.Context, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fmt.Errorf("decode %s: %w", name, err)
		}
		return f(ctx, in)
	}}
}

// Serve answers calls on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return drpcserver.New(s).Serve(ctx, l)
}

// HandleRPC answers one call; drpc calls it.
func (s *Server) HandleRPC(stream drpc.Stream, name string) error {
	var in request
	if err := stream.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	out, err := s.answer(stream.Context(), name, in)
	if err != nil {
		return stream.MsgSend(&response{Kind: kindOf(err), Error: err.Error()}, encoding{})
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode answer of %s: %w", name, err)
	}
	return stream.MsgSend(newResponse(body, in.Compressed), encoding{})
}

func (s *Server) answer(ctx context.Context, name string, in request) (any, error) {
	m, ok := s.methods[name]
	if !ok {
		return nil, &UnknownMethodError{Method: name}
	}
	if m.token == "" || subtle.ConstantTimeCompare([]byte(m.token), []byte(in.Token)) != 1 {
		s.denied(name)
		return nil, &DeniedError{Method: name}
	}
	m.calls.Add(1)
	body, err := in.body()
	if err != nil {
		return nil, err
	}
	return m.call(ctx, body)
}

// Calls returns how often each method was called.
func (s *Server) Calls() map[string]int64 {
	return lo.MapValues(s.methods, func(m method, _ string) int64 { return m.calls.Load() })
}

// kindOf names the innermost error's type, which a caller may act on.
func kindOf(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return reflect.Indirect(reflect.ValueOf(err)).Type().String()
		}
		err = inner
	}
}
