package socket

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"wasabideal/internal/member/seal"
	"wasabideal/internal/wire/datagram"
	"wasabideal/internal/wire/rpc"
	"wasabideal/internal/zoneload/report"
)

// readErrorDelay prevents a socket that fails repeatedly from using the processor.
const readErrorDelay = 100 * time.Millisecond

// ListenError reports that no socket could be opened at an address.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s for load reports: %v", e.Address, e.Cause)
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Cause }

// AddressError reports a receiver whose address is not an IPv4 address and port.
type AddressError struct{ Address string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("cannot send load reports to %q, which is not an IPv4 address and port", e.Address)
}

// SendError reports that the kernel rejected a datagram.
type SendError struct{ Cause error }

func (e *SendError) Error() string { return fmt.Sprintf("send load message: %v", e.Cause) }

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Cause }

// ReadError reports that datagrams could not be received.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return fmt.Sprintf("receive load messages: %v", e.Cause) }

// Unwrap returns the underlying error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Handler handles what a socket receives. Its methods are called by one goroutine.
type Handler interface {
	// OnReport handles a report that waited in the receive queue for the given time, and returns
	// the encoded answers, none to send none.
	OnReport(r report.Report, queued time.Duration) [][]byte
	// OnAnswer handles an answer of the process at an address.
	OnAnswer(from netip.AddrPort, a report.Answer)
	// OnError receives the reason why a datagram was dropped, or a ReadError or SendError.
	OnError(err error)
}

// Socket sends and receives load reports and answers.
type Socket struct {
	socket *datagram.Socket
	signer seal.Signer
	// sending serializes the use of the socket's send queue.
	sending sync.Mutex
	// traffic counts the bytes on the VM's link, nil if they are not counted; overhead is the size of
	// a datagram's headers.
	traffic  *rpc.Traffic
	overhead int
}

// Listen opens a socket at an IPv4 address and port. It fails with a ListenError.
func Listen(address, token string) (*Socket, error) {
	s, err := datagram.Listen(address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return &Socket{socket: s, signer: NewSigner(token)}, nil
}

// CountTraffic counts the bytes of all datagrams, with headers of the given size. It must be called
// before the socket is used.
func (s *Socket) CountTraffic(t *rpc.Traffic, overhead int) { s.traffic, s.overhead = t, overhead }

// Address returns the local address.
func (s *Socket) Address() netip.AddrPort { return s.socket.Address() }

// Close closes the socket and ends Serve.
func (s *Socket) Close() { s.socket.Close() }

// Send sends a report to the receivers. It fails with an AddressError, a report.SizeError or a
// SendError; the report is sent to the receivers that are valid.
func (s *Socket) Send(r report.Report, receivers []string) error {
	data, err := EncodeReport(s.signer, r)
	if err != nil {
		return err
	}
	var out []outgoing
	var failed error
	for _, to := range receivers {
		a, err := netip.ParseAddrPort(to)
		if err != nil || !a.Addr().Unmap().Is4() {
			failed = &AddressError{Address: to}
			continue
		}
		out = append(out, outgoing{to: netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), data: data})
	}
	return errors.Join(failed, s.send(out))
}

type outgoing struct {
	to   netip.AddrPort
	data []byte
}

func (s *Socket) send(all []outgoing) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	for _, o := range all {
		s.socket.Queue(o.to, o.data)
		s.traffic.AddSent(len(o.data) + s.overhead)
	}
	if err := s.socket.Flush(); err != nil {
		return &SendError{Cause: err}
	}
	return nil
}

// Serve receives datagrams until the socket is closed. The answers to a batch of reports are sent
// together.
func (s *Socket) Serve(h Handler) {
	for {
		n, err := s.socket.Read()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			h.OnError(&ReadError{Cause: err})
			time.Sleep(readErrorDelay)
			continue
		}
		var answers []outgoing
		for i := range n {
			from, data := s.socket.Datagram(i)
			s.traffic.AddReceived(len(data) + s.overhead)
			// The queue delay is the difference of two readings of the wall clock. A step of that
			// clock affects only the datagrams that are in the queue at that moment.
			for _, out := range s.handle(h, from, data, s.socket.QueueDelay(time.Now(), i)) {
				answers = append(answers, outgoing{to: from, data: out})
			}
		}
		if len(answers) == 0 {
			continue
		}
		if err := s.send(answers); err != nil {
			h.OnError(err)
		}
	}
}

// handle handles a datagram and returns the datagrams of the answer.
func (s *Socket) handle(h Handler, from netip.AddrPort, data []byte, queued time.Duration) [][]byte {
	m, err := Decode(s.signer, data)
	if err != nil {
		h.OnError(err)
		return nil
	}
	if m.Answer != nil {
		h.OnAnswer(from, *m.Answer)
		return nil
	}
	var out [][]byte
	for _, body := range h.OnReport(*m.Report, queued) {
		out = append(out, signed(s.signer, kindAnswer, body))
	}
	return out
}
