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
	// Inconclusive means that the host did not answer, but that this says nothing about the host:
	// this process stalled, the probe was cancelled, or all references left the first or the
	// last attempt unanswered.
	Inconclusive Outcome = iota
	// Accepted means that the host is up and listens on the port.
	Accepted
	// Refused means that the host is up and no process listens on the port.
	Refused
	// Unanswered means that the host did not answer while a reference did.
	Unanswered
)

var outcomeNames = [...]string{"Inconclusive", "Accepted", "Refused", "Unanswered"}

// String returns the name of the outcome as used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Down reports whether the outcome rules out that the upstream is running.
func (o Outcome) Down() bool { return o == Refused || o == Unanswered }

const (
	// Timeout is how long a host may take to answer.
	Timeout = 500 * time.Millisecond
	// attempts is the number of handshakes started within Timeout, since packets may be lost.
	attempts = 3
	// maxStall is how much longer than planned a probe may take before this process counts as
	// stalled. drain is the final wait for answers that have already arrived.
	maxStall = 100 * time.Millisecond
	drain    = 20 * time.Millisecond
)

// Prober probes hosts; it is safe for concurrent use.
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

// Check probes a suspect, along with references that are presumed to be up.
func (p *Prober) Check(ctx context.Context, suspect netip.AddrPort, references []netip.AddrPort) Outcome {
	// The dial timeout exceeds the wait, so that no handshake is cancelled while its answer
	// is still unread.
	ctx, cancel := context.WithTimeout(ctx, Timeout+maxStall+2*drain)
	defer cancel()
	answers := make(chan Outcome, attempts)
	// At least one reference must answer during the first attempt, and at least one during the
	// last.
	first := make(chan struct{}, len(references))
	last := make(chan struct{}, len(references))
	startedAt := p.clock()
	for n := range attempts {
		p.dialSuspect(ctx, suspect, answers)
		switch n {
		case 0:
			p.dialReferences(ctx, references, first)
		case attempts - 1:
			p.dialReferences(ctx, references, last)
		}
		if o, ok := p.wait(ctx, answers, Timeout/attempts); ok {
			return o
		}
	}
	if o, ok := p.wait(ctx, answers, drain); ok {
		return o
	}
	if p.clock().Sub(startedAt) > Timeout+drain+maxStall || len(first) == 0 || len(last) == 0 {
		return Inconclusive
	}
	return Unanswered
}

// dialSuspect starts one handshake and sends its outcome if the host answers.
func (p *Prober) dialSuspect(ctx context.Context, suspect netip.AddrPort, answers chan<- Outcome) {
	go func() {
		switch err := p.dial(ctx, suspect.String()); {
		case err == nil:
			answers <- Accepted
		case errors.Is(err, syscall.ECONNREFUSED):
			answers <- Refused
		}
	}()
}

// dialReferences starts one handshake with each reference.
func (p *Prober) dialReferences(ctx context.Context, references []netip.AddrPort, answered chan<- struct{}) {
	for _, r := range references {
		go func() {
			if err := p.dial(ctx, r.String()); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				answered <- struct{}{}
			}
		}()
	}
}

// wait returns the first outcome within a duration, and whether there is one.
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
	// An answer may have arrived while this process was stalled.
	select {
	case o := <-answers:
		return o, true
	default:
		return Inconclusive, false
	}
}
