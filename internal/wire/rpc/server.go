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
	// Compressed states that the caller can decompress the response; callers of earlier versions do
	// not set it. In a response, Compressed is the compressed body.
	Compressed bool
	// Packed is the body in S2 block format; Body is then empty.
	Packed []byte `cbor:",omitempty"`
}

// minCompressedCall is the size in bytes from which the body of a call is compressed. Twenty
// announcements that a balancer forwards repeat the names of services and zones and take
// 1,400 bytes, or 700 compressed.
const minCompressedCall = 512

// newRequest returns a request with a body, compressed if large.
func newRequest(token string, body []byte) *request {
	r := &request{Token: token, Compressed: true}
	if len(body) < minCompressedCall {
		r.Body = body
	} else {
		r.Packed = s2.Encode(nil, body)
	}
	return r
}

// body returns the uncompressed body of a request.
func (r request) body() ([]byte, error) {
	if len(r.Packed) == 0 {
		return r.Body, nil
	}
	return Decompress(r.Packed)
}

type response struct {
	Body cbor.RawMessage `cbor:",omitempty"`
	// Kind is the type name of the error, Error its message; both are empty if the call succeeded.
	Kind  string
	Error string
	// Compressed is the body in S2 block format; Body is then empty.
	Compressed []byte `cbor:",omitempty"`
}

// minCompressedResponse is the size in bytes from which responses are compressed. A starting
// balancer fetches all upstreams and the configuration: 20 kB for 220 upstreams and 70 routes. The
// transfer takes 80 ms on a link of 2 Mbit/s, and half of that if compressed. Smaller responses are
// deltas, for which compression costs more time than it saves.
const minCompressedResponse = 2 << 10

// newResponse returns a response with a body. A large body is compressed if the caller allows
// compression.
func newResponse(body []byte, allowCompression bool) *response {
	if !allowCompression || len(body) < minCompressedResponse {
		return &response{Body: body}
	}
	return &response{Compressed: s2.Encode(nil, body)}
}

// body returns the uncompressed body of a response.
func (r response) body() ([]byte, error) {
	if len(r.Compressed) == 0 {
		return r.Body, nil
	}
	return Decompress(r.Compressed)
}

// Decompress returns the content of a body in S2 block format, or an error if it is damaged or exceeds 64 MiB.
func Decompress(b []byte) ([]byte, error) {
	size, err := s2.DecodedLen(b)
	if err != nil || size > maxBodySize {
		return nil, &OversizeError{Size: size}
	}
	return s2.Decode(nil, b)
}

// maxBodySize is the largest decompressed body in bytes; configurations of tens of
// thousands of routes fit.
const maxBodySize = 64 << 20

// OversizeError reports a compressed body of a request or response that is too large or has an
// invalid length. Size is the decompressed size in bytes, 0 if the length is invalid.
type OversizeError struct{ Size int }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("compressed answer of %d bytes; allowed: %d", e.Size, maxBodySize)
}

type encoding struct{}

func (encoding) Marshal(m drpc.Message) ([]byte, error) { return cbor.Marshal(m) }

func (encoding) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

// DeniedError reports a call without the token that the method requires.
type DeniedError struct{ Method string }

func (e *DeniedError) Error() string {
	return fmt.Sprintf("%s needs a token that the caller does not have; set Token in the settings or pass --token", e.Method)
}

// UnknownMethodError reports a method that the server does not implement.
type UnknownMethodError struct{ Method string }

func (e *UnknownMethodError) Error() string {
	return e.Method + " is not served here; check the address and the version"
}

type method struct {
	token string
	call  func(ctx context.Context, body []byte) (any, error)
	calls *atomic.Int64
}

// Server serves calls; all methods must be registered before Serve.
type Server struct {
	methods  map[string]method
	onDenied func(method string)
	// unsent counts the responses that could not be sent, as the caller had closed the connection.
	unsent atomic.Int64
}

// Sent is implemented by results that need to know when their response has been sent, or could not be.
type Sent interface{ Sent() }

// NewServer returns a server without methods. The server calls onDenied for each call without a
// valid token.
func NewServer(onDenied func(method string)) *Server {
	return &Server{methods: map[string]method{}, onDenied: onDenied}
}

// Handle registers a method that requires the token; with an empty token, all calls are denied.
func Handle[In, Out any](s *Server, name, token string, f func(ctx context.Context, in In) (Out, error)) {
	s.methods[name] = method{token: token, calls: &atomic.Int64{}, call: func(ctx context.Context, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fmt.Errorf("decode %s: %w", name, err)
		}
		return f(ctx, in)
	}}
}

// Serve serves calls on a listener until the context is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return drpcserver.New(s).Serve(ctx, l)
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, name string) error {
	var in request
	if err := stream.MsgRecv(&in, encoding{}); err != nil {
		return err
	}
	out, err := s.dispatch(stream.Context(), name, in)
	if x, ok := out.(Sent); ok {
		defer x.Sent()
	}
	if err != nil {
		return stream.MsgSend(&response{Kind: errorKind(err), Error: err.Error()}, encoding{})
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		return fmt.Errorf("encode answer of %s: %w", name, err)
	}
	err = stream.MsgSend(newResponse(body, in.Compressed), encoding{})
	if err != nil {
		s.unsent.Add(1)
	}
	return err
}

// Unsent returns the number of responses that could not be sent.
func (s *Server) Unsent() int64 { return s.unsent.Load() }

func (s *Server) dispatch(ctx context.Context, name string, in request) (any, error) {
	m, ok := s.methods[name]
	if !ok {
		return nil, &UnknownMethodError{Method: name}
	}
	if m.token == "" || subtle.ConstantTimeCompare([]byte(m.token), []byte(in.Token)) != 1 {
		s.onDenied(name)
		return nil, &DeniedError{Method: name}
	}
	m.calls.Add(1)
	body, err := in.body()
	if err != nil {
		return nil, err
	}
	return m.call(ctx, body)
}

// Calls returns the number of authorized calls of each method.
func (s *Server) Calls() map[string]int64 {
	return lo.MapValues(s.methods, func(m method, _ string) int64 { return m.calls.Load() })
}

// errorKind returns the type name of the innermost error. Callers compare this name.
func errorKind(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return reflect.Indirect(reflect.ValueOf(err)).Type().String()
		}
		err = inner
	}
}
