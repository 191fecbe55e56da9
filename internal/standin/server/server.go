package server

import (
	"context"
	"net"
	"testing"

	"wasabideal/internal/wire/rpc"
)

// Server serves calls on a listener until its test ends.
type Server struct{ Listener net.Listener }

// Listen opens a port on loopback.
func Listen(t *testing.T) Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on loopback: %v", err)
	}
	return Server{Listener: l}
}

// Address returns where the server listens.
func (s Server) Address() string { return s.Listener.Addr().String() }

// Serve answers calls until the test ends.
func (s Server) Serve(t *testing.T, methods *rpc.Server) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// It ends with the listener, which the end of the test closes.
		_ = methods.Serve(ctx, s.Listener)
	}()
	t.Cleanup(func() {
		cancel()
		_ = s.Listener.Close()
		<-done
	})
}
