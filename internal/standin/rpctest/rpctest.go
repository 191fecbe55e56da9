package rpctest

import (
	"context"
	"net"
	"testing"

	"wasabideal/internal/wire/rpc"
)

// Server serves RPCs on a listener until the test ends.
type Server struct{ Listener net.Listener }

// Listen opens a free TCP port on loopback.
func Listen(t *testing.T) Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on loopback: %v", err)
	}
	return Server{Listener: l}
}

// Address returns the address of the listener.
func (s Server) Address() string { return s.Listener.Addr().String() }

// Serve starts serving RPCs; it stops when the test ends.
func (s Server) Serve(t *testing.T, methods *rpc.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// An error is expected: the cleanup stops Serve by closing the listener.
		_ = methods.Serve(ctx, s.Listener)
	}()
	t.Cleanup(func() {
		cancel()
		_ = s.Listener.Close()
		<-done
	})
}
