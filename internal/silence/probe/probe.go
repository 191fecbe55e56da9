package probe

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Outcome is the result of probing a host.
type Outcome uint8

// The outcomes.
const (
	// Inconclusive probes prove nothing: no other host answered either, or this process stood
	// still.
	Inconclusive Outcome = iota
	// Accepted means that the host is there and listens.
	Accepted
	// Refused means that the host is there and nothing listens.
	Refused
	// Unanswered means that the host gave no answer, while another one did.
	Unanswered
)

var outcomeNames = [...]string{"Inconclusive", "Accepted", "Refused", "Unanswered"}

// String returns the outcome's name as it stands in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Gone says that no process of the upstream can be at work there.
func (o Outcome) Gone() bool { return o == Refused || o == Unanswered }

const (
	// Patience is how long a host has for an answer.
	Patience = 500 * time.Millisecond
	// attempts is how many handshakes are tried in that time: some packets are lost.
	attempts = 3
	// stallMost is by how much longer than planned a wait may take before this process counts as
	// having stood still, and drain how long answers that arrived meanwhile are waited for.
	stallMost = 100 * time.Millisecond
	drain     = 20 * time.Millisecond
)

// Prober asks hosts; it is safe for concurrent use.
type Prober struct {
	clock func() time.Time
	dial  func(ctx context.Context, address string) error
}

// New returns a prober; dial completes a handshake and closes the connection.
func New(clock func() time.Time, dial func(ctx context.Context, address string) error) *Prober {
	return &Prober{clock: clock, dial: dial}
}

// Dial completes a TCP handshake with an address and closes the connection.
func Dial(ctx context.Context, address string) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Check probes a suspect, and references beside it that are believed to be there.
func (p *Prober) Check(ctx context.Context, suspect netip.AddrPort, references []netip.AddrPort) Outcome {
	// Handshakes outlive the wait a little: one that is cut short at its end might have an
	// answer that was not read yet.
	ctx, cancel := context.WithTimeout(ctx, Patience+stallMost+2*drain)
	defer cancel()
	answers := make(chan Outcome, attempts)
	// The first and the last attempt must each have a reference that answered.
	first := make(chan struct{}, len(references))
	last := make(chan struct{}, len(references))
	begun := p.clock()
	for n := range attempts {
		p.ask(ctx, suspect, answers)
		switch n {
		case 0:
			p.refer(ctx, references, first)
		case attempts - 1:
			p.refer(ctx, references, last)
		}
		if o, told := p.wait(ctx, answers, Patience/attempts); told {
			return o
		}
	}
	if o, told := p.wait(ctx, answers, drain); told {
		return o
	}
	if p.clock().Sub(begun) > Patience+drain+stallMost || len(first) == 0 || len(last) == 0 {
		return Inconclusive
	}
	return Unanswered
}

// ask tries one handshake, and tells its outcome if there is any.
func (p *Prober) ask(ctx context.Context, suspect netip.AddrPort, answers chan<- Outcome) {
	go func() {
		switch err := p.dial(ctx, suspect.String()); {
		case err == nil:
			answers <- Accepted
		case errors.Is(err, syscall.ECONNREFUSED):
			answers <- Refused
		}
	}()
}

// refer tries one handshake with each reference.
func (p *Prober) refer(ctx context.Context, references []netip.AddrPort, answered chan<- struct{}) {
	for _, r := range references {
		go func() {
			if err := p.dial(ctx, r.String()); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				answered <- struct{}{}
			}
		}()
	}
}

func (p *Prober) wait(ctx context.Context, answers <-chan Outcome, d time.Duration) (Outcome, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case o := <-answers:
		return o, true
	case <-ctx.Done():
		return Inconclusive, true
	case <-t.C:
	}
	// An answer may have come while this process stood still.
	select {
	case o := <-answers:
		return o, true
	default:
		return Inconclusive, false
	}
}
