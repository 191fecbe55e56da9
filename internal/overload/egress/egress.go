package egress

import "time"

const (
	// capacity is how long the queue of the link may become: less than the 50 ms that the link
	// holds, since the packets of RPCs are counted only after they were sent.
	capacity = 45 * time.Millisecond
	// retransmissionCapacity is the queue up to which retransmitted openings are forwarded. Their
	// callers give up soon, or another copy is on its way.
	retransmissionCapacity = capacity / 2
	// usableShare is the share of the bandwidth that is used. The rest is for packets that are not
	// counted, such as acknowledgements of TCP connections.
	usableShare = 0.97
)

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets. Retransmitted openings are dropped first.
const (
	Ordinary Kind = iota
	RetransmittedOpening
)

// Link is the queue of the outgoing direction of one link. It is not safe for concurrent use.
type Link struct {
	bytesPerSecond float64
	// queued is the number of bytes in the queue at the time updated.
	queued  float64
	updated time.Time
}

// New returns the empty queue of a link with the given bandwidth.
func New(bytesPerSecond float64) *Link { return &Link{bytesPerSecond: usableShare * bytesPerSecond} }

// advance drains the queue up to the present time. If the clock went backwards, nothing drains until
// it moves on.
func (l *Link) advance(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.queued = max(l.queued-elapsed.Seconds()*l.bytesPerSecond, 0)
	}
	l.updated = now
}

// Sent records the bytes of packets that were sent without a call of Send.
func (l *Link) Sent(now time.Time, size int) {
	l.advance(now)
	l.queued += float64(size)
}

// Send reports whether a packet may be sent, and if so adds it to the queue. Otherwise the packet must
// be dropped.
func (l *Link) Send(now time.Time, k Kind, size int) bool {
	l.advance(now)
	limit := capacity
	if k == RetransmittedOpening {
		limit = retransmissionCapacity
	}
	if l.queued+float64(size) > limit.Seconds()*l.bytesPerSecond {
		return false
	}
	l.queued += float64(size)
	return true
}

// Delay returns how long the queue takes to drain.
func (l *Link) Delay(now time.Time) time.Duration {
	l.advance(now)
	return time.Duration(l.queued / l.bytesPerSecond * float64(time.Second))
}
