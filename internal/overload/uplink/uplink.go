package uplink

import (
	"math"
	"time"

	"wasabideal/internal/overload/meter"
)

const (
	// window is what one upload may have under way, in bytes: 16 packets of at
	// most 1,244 bytes.
	window = 16 * 1244
	// patience is how long a window may wait on the link. Callers repeat a packet
	// after 200 ms; the rest is for the way there and back, and short requests.
	patience = 160 * time.Millisecond
	// pacedDelay is how long the window of a single upload is spread over: less
	// than patience, so that no packet is repeated while it waits here.
	pacedDelay = 140 * time.Millisecond
	// narrowWait is how long a window takes on a link that needs pacing. On a
	// wider one a whole window delays others less than zones are apart, while
	// pacing would make a large upload late: with a link of 1,000 Mbit/s it
	// raised the 99th percentile from 0.1 s to 3.4 s.
	narrowWait = 20 * time.Millisecond
	// linkShare is the part of the link that all packets may use together, and leastShare
	// the part that is left to uploads that were let in, so that these end and make room,
	// however much other traffic there is.
	linkShare, leastShare = 0.95, 0.1
	// closedFrom is the part of the link in use by other packets from which no further
	// upload is let in: one window would then wait for longer than callers do before they
	// repeat it, behind packets of requests that wait no less.
	closedFrom = 0.7
	// meterFor is the time constant with which other traffic is followed: long enough to
	// count some dozen packets of a link of 2 Mbit/s, and shorter than an upload.
	meterFor = 200 * time.Millisecond
	// activeFor is how long an upload counts as under way without a packet: more
	// than two of its callers' shortest waits before a repetition.
	activeFor = 450 * time.Millisecond
	// burst is how much may leave at once after a pause, in bytes.
	burst = 2 * 1244
	// queueLimit bounds the packets that wait, in windows: twice what may wait
	// within patience. More are dropped, as the link itself would.
	queueLimit = 4
)

// Packet is one packet of an upload.
type Packet[K comparable, T any] struct {
	Flow K
	// Sequence and Length tell a repeated packet from a new one.
	Sequence uint32
	Length   int
	// Size is what it takes on the link, in bytes.
	Size    int
	Payload T
}

// Verdict says what became of an offered packet.
type Verdict uint8

// The verdicts.
const (
	// Waits until Due returns it.
	Waits Verdict = iota
	// Doubled packets are dropped: the same one still waits.
	Doubled
	// Full means that the queue takes no more.
	Full
)

// Uplink is the share of uploads in one link; one goroutine owns it.
type Uplink[K comparable, T any] struct {
	bytesPerSecond float64
	// others are the bytes of all other packets.
	others  *meter.Meter
	uploads map[K]time.Time
	queue   []Packet[K, T]
	waiting int
	credit  float64
	paid    time.Time
}

// New returns the uploads' share of a link of so many bytes a second.
func New[K comparable, T any](bytesPerSecond float64) *Uplink[K, T] {
	return &Uplink[K, T]{bytesPerSecond: bytesPerSecond, others: meter.New(meterFor), uploads: map[K]time.Time{}}
}

// Other notes the bytes of a packet that belongs to no upload.
//
// Uploads take what such packets leave of the link. Beside a burst of six times the usual
// requests, 40 % of the link, uploads at 95 % of it kept a queue in front of all packets:
// callers repeated what only waited, and of 97,000 requests 34,000 failed.
func (u *Uplink[K, T]) Other(now time.Time, size int) { u.others.Add(now, float64(size)) }

// Others returns the bytes a second of packets that belong to no upload.
func (u *Uplink[K, T]) Others(now time.Time) float64 { return u.others.Rate(now) }

// free is the pace in bytes a second that other packets leave.
func (u *Uplink[K, T]) free(now time.Time) float64 {
	return max(linkShare*u.bytesPerSecond-u.others.Rate(now), leastShare*u.bytesPerSecond)
}

// Narrow says whether a link of so many bytes a second needs pacing at all.
func Narrow(bytesPerSecond float64) bool {
	return bytesPerSecond > 0 && window/bytesPerSecond > narrowWait.Seconds()
}

// Limit is the number of uploads that may be under way at once: as many as
// whole windows leave the link within patience.
func (u *Uplink[K, T]) Limit(now time.Time) int {
	left := u.bytesPerSecond - u.others.Rate(now)
	if left <= (1-closedFrom)*u.bytesPerSecond {
		return 0
	}
	return max(int(math.Round(left*patience.Seconds()/window)), 1)
}

// Active returns the number of uploads under way.
func (u *Uplink[K, T]) Active(now time.Time) int {
	for k, seen := range u.uploads {
		if now.Sub(seen) > activeFor {
			delete(u.uploads, k)
		}
	}
	return len(u.uploads)
}

// Admit takes an upload in if there is room; one that is in already stays.
func (u *Uplink[K, T]) Admit(now time.Time, flow K) bool {
	if _, in := u.uploads[flow]; !in && u.Active(now) >= u.Limit(now) {
		return false
	}
	u.uploads[flow] = now
	return true
}

// Leave ends an upload.
func (u *Uplink[K, T]) Leave(flow K) { delete(u.uploads, flow) }

// Offer takes a packet of an upload, which may have been let in elsewhere.
func (u *Uplink[K, T]) Offer(now time.Time, p Packet[K, T]) Verdict {
	u.uploads[p.Flow] = now
	for _, q := range u.queue {
		if q.Flow == p.Flow && q.Sequence == p.Sequence && q.Length == p.Length {
			return Doubled
		}
	}
	if u.waiting+p.Size > queueLimit*window {
		return Full
	}
	u.queue = append(u.queue, p)
	u.waiting += p.Size
	return Waits
}

// rate returns the uploads' pace in bytes a second.
func (u *Uplink[K, T]) rate(now time.Time) float64 {
	wanted := float64(max(u.Active(now), 1)) * window / pacedDelay.Seconds()
	return min(wanted, u.free(now))
}

// Due returns the next packet that may leave now.
func (u *Uplink[K, T]) Due(now time.Time) (Packet[K, T], bool) {
	if len(u.queue) == 0 {
		return Packet[K, T]{}, false
	}
	u.credit = min(u.credit+now.Sub(u.paid).Seconds()*u.rate(now), burst)
	u.paid = now
	p := u.queue[0]
	if u.credit < float64(p.Size) {
		return Packet[K, T]{}, false
	}
	u.credit -= float64(p.Size)
	u.waiting -= p.Size
	u.queue = u.queue[1:]
	if len(u.queue) == 0 {
		u.queue = nil
	}
	return p, true
}

// Wait returns how long after a failed Due the next packet may leave, and false
// where none waits.
func (u *Uplink[K, T]) Wait(now time.Time) (time.Duration, bool) {
	if len(u.queue) == 0 {
		return 0, false
	}
	missing := float64(u.queue[0].Size) - u.credit
	return time.Duration(max(missing, 0) / u.rate(now) * float64(time.Second)), true
}
