package uplink

import (
	"math"
	"time"

	"wasabideal/internal/overload/meter"
)

const (
	// window is the send window of one upload, in bytes: 16 packets of at most
	// 1,244 bytes.
	window = 16 * 1244
	// maxQueueDelay is how long the windows of all admitted uploads may take on the link.
	// Callers retransmit a packet after 200 ms; the difference covers the round trip and
	// short requests.
	maxQueueDelay = 160 * time.Millisecond
	// pacingInterval is the time over which the window of a single upload is spread: less
	// than maxQueueDelay, so that no packet is retransmitted while it is queued here.
	pacingInterval = 140 * time.Millisecond
	// minPacedDelay is the time that a window takes on the widest link that is paced. On
	// a wider link a window delays other packets by less than the latency between zones,
	// and pacing would only delay large uploads: on a link of 1,000 Mbit/s it raised the
	// 99th percentile of their duration from 0.1 s to 3.4 s.
	minPacedDelay = 20 * time.Millisecond
	// maxLinkShare is the part of the link that all packets may use together.
	// minUploadShare is reserved for admitted uploads, so that they end regardless of the
	// other traffic, and further uploads can start.
	maxLinkShare, minUploadShare = 0.95, 0.1
	// If packets that belong to no upload use maxOtherShare of the link, no further upload is
	// admitted: its window, and the packets of requests ahead of the window, would be delayed
	// beyond the callers' retransmission timeout.
	maxOtherShare = 0.7
	// meterTimeConstant is the time constant of the rate of other traffic: long enough to
	// count a few dozen packets on a link of 2 Mbit/s, and shorter than an upload.
	meterTimeConstant = 200 * time.Millisecond
	// inactivityTimeout is how long an upload stays active without a packet: more than
	// twice the shortest retransmission timeout of callers.
	inactivityTimeout = 450 * time.Millisecond
	// maxBurst is the number of bytes that may leave at once after a pause.
	maxBurst = 2 * 1244
	// maxQueuedWindows bounds the queue: twice the windows that leave a link of 2 Mbit/s within
	// maxQueueDelay. Further packets are dropped, as the link's own queue would do.
	maxQueuedWindows = 4
)

// Packet is one packet of an upload.
type Packet[K comparable, T any] struct {
	Flow K
	// Sequence and Length identify a retransmitted packet.
	Sequence uint32
	Length   int
	// Size is the number of bytes on the link, with all headers.
	Size    int
	Payload T
}

// Verdict is the result of Enqueue.
type Verdict uint8

const (
	// Queued packets are returned by Dequeue later.
	Queued Verdict = iota
	// Duplicate packets are dropped: the same packet is in the queue.
	Duplicate
	// Full means that the packet is dropped because the queue is full.
	Full
)

// Pacer admits and paces the uploads on one link. It is not safe for concurrent use.
type Pacer[K comparable, T any] struct {
	bytesPerSecond float64
	// others measures the bytes of packets that belong to no upload.
	others *meter.Meter
	// lastPacket is the time of the latest packet of each active upload.
	lastPacket  map[K]time.Time
	queue       []Packet[K, T]
	queuedBytes int
	// tokens is the number of bytes that could be sent at lastRefill.
	tokens     float64
	lastRefill time.Time
}

// New returns the Pacer of a link with the given bandwidth.
func New[K comparable, T any](bytesPerSecond float64) *Pacer[K, T] {
	return &Pacer[K, T]{bytesPerSecond: bytesPerSecond, others: meter.New(meterTimeConstant), lastPacket: map[K]time.Time{}}
}

// RecordOther records the bytes of a packet that belongs to no upload.
//
// Uploads use only the bandwidth that such packets leave. Uploads used to take 95 % of the link. In
// a burst of requests of six times the usual load, which needed 40 % of the link, a standing queue
// formed: callers retransmitted packets that were only queued, and 34,000 of 97,000 requests
// failed.
func (u *Pacer[K, T]) RecordOther(now time.Time, size int) { u.others.Add(now, float64(size)) }

// OtherRate returns the rate of packets that belong to no upload, in bytes per second.
func (u *Pacer[K, T]) OtherRate(now time.Time) float64 { return u.others.Rate(now) }

// free returns the bandwidth that other packets leave, in bytes per second.
func (u *Pacer[K, T]) free(now time.Time) float64 {
	return max(maxLinkShare*u.bytesPerSecond-u.others.Rate(now), minUploadShare*u.bytesPerSecond)
}

// NeedsPacing reports whether uploads on a link of the given bandwidth need pacing.
func NeedsPacing(bytesPerSecond float64) bool {
	return bytesPerSecond > 0 && window/bytesPerSecond > minPacedDelay.Seconds()
}

// Limit returns the maximum number of active uploads. With that number, the link transmits one window
// of each upload within maxQueueDelay. The limit is 0 if other traffic takes the share maxOtherShare
// of the bandwidth or more, and at least 1 otherwise.
func (u *Pacer[K, T]) Limit(now time.Time) int {
	left := u.bytesPerSecond - u.others.Rate(now)
	if left <= (1-maxOtherShare)*u.bytesPerSecond {
		return 0
	}
	return max(int(math.Round(left*maxQueueDelay.Seconds()/window)), 1)
}

// Active removes uploads without recent packets and returns the number of active uploads.
func (u *Pacer[K, T]) Active(now time.Time) int {
	for k, seen := range u.lastPacket {
		if now.Sub(seen) > inactivityTimeout {
			delete(u.lastPacket, k)
		}
	}
	return len(u.lastPacket)
}

// Admit reports whether an upload may start, and if so records it as active. An active upload stays
// admitted.
func (u *Pacer[K, T]) Admit(now time.Time, flow K) bool {
	if _, active := u.lastPacket[flow]; !active && u.Active(now) >= u.Limit(now) {
		return false
	}
	u.lastPacket[flow] = now
	return true
}

// Remove ends an upload, which no longer counts as active.
func (u *Pacer[K, T]) Remove(flow K) { delete(u.lastPacket, flow) }

// Enqueue queues a packet of an upload and records the upload as active. Another balancer may have
// admitted the upload.
func (u *Pacer[K, T]) Enqueue(now time.Time, p Packet[K, T]) Verdict {
	u.lastPacket[p.Flow] = now
	for _, q := range u.queue {
		if q.Flow == p.Flow && q.Sequence == p.Sequence && q.Length == p.Length {
			return Duplicate
		}
	}
	if u.queuedBytes+p.Size > maxQueuedWindows*window {
		return Full
	}
	u.queue = append(u.queue, p)
	u.queuedBytes += p.Size
	return Queued
}

// rate returns the pacing rate of all uploads together, in bytes per second.
func (u *Pacer[K, T]) rate(now time.Time) float64 {
	wanted := float64(max(u.Active(now), 1)) * window / pacingInterval.Seconds()
	return min(wanted, u.free(now))
}

// Dequeue removes and returns the next packet if it may be sent now.
func (u *Pacer[K, T]) Dequeue(now time.Time) (Packet[K, T], bool) {
	if len(u.queue) == 0 {
		return Packet[K, T]{}, false
	}
	u.tokens = min(u.tokens+now.Sub(u.lastRefill).Seconds()*u.rate(now), maxBurst)
	u.lastRefill = now
	p := u.queue[0]
	if u.tokens < float64(p.Size) {
		return Packet[K, T]{}, false
	}
	u.tokens -= float64(p.Size)
	u.queuedBytes -= p.Size
	u.queue = u.queue[1:]
	if len(u.queue) == 0 {
		u.queue = nil
	}
	return p, true
}

// NextDelay is called after a Dequeue without a packet. It returns how long to wait until the next
// packet may be sent, and false if the queue is empty.
func (u *Pacer[K, T]) NextDelay(now time.Time) (time.Duration, bool) {
	if len(u.queue) == 0 {
		return 0, false
	}
	missing := float64(u.queue[0].Size) - u.tokens
	return time.Duration(max(missing, 0) / u.rate(now) * float64(time.Second)), true
}
