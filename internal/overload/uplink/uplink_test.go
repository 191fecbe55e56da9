package uplink_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/overload/uplink"
)

const (
	narrow = 250_000 // bytes per second: 2 Mbit/s
	size   = 1244
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func packet(flow, sequence int) uplink.Packet[int, int] {
	return uplink.Packet[int, int]{Flow: flow, Sequence: uint32(sequence), Length: 1200, Size: size}
}

func TestLimitFollowsBandwidth(t *testing.T) {
	require.Equal(t, 2, uplink.New[int, int](narrow).Limit(epoch))
	require.Equal(t, 1, uplink.New[int, int](narrow/10).Limit(epoch))
	require.Equal(t, 1005, uplink.New[int, int](500*narrow).Limit(epoch))
}

// Bodies of 240 kB are uploaded over a nearly idle link of 1,000 Mbit/s. They used to be paced as
// on a narrow link, where pacing keeps packets out of the link's own queue: uploads took seconds.
func TestWideLinksAreNotPaced(t *testing.T) {
	require.True(t, uplink.NeedsPacing(narrow))
	require.False(t, uplink.NeedsPacing(500*narrow))
	require.False(t, uplink.NeedsPacing(0))
}

// Three callers upload through one link of 2 Mbit/s. Their windows take longer than the
// retransmission timeout, and the retransmitted packets fill the link: uploads used to take
// seconds, and short requests through the same entry VM waited a quarter of a second.
func TestThirdUploadIsRejected(t *testing.T) {
	u := uplink.New[int, int](narrow)
	require.True(t, u.Admit(epoch, 1))
	require.True(t, u.Admit(epoch, 2))
	require.False(t, u.Admit(epoch, 3))
	require.True(t, u.Admit(epoch, 1), "an active upload stays admitted")
	u.Remove(2)
	require.True(t, u.Admit(epoch, 3))
	require.True(t, u.Admit(epoch.Add(time.Second), 4), "inactive uploads do not count")
}

// Uploads follow one after the other while short requests use, for example, 100 kB/s of a link of
// 250 kB/s. When uploads took 95 % of the link regardless of the requests, its queue grew, and callers
// retransmitted queued packets. At six times the usual load nearly all requests were late, although
// requests took less than half of the link.
func TestUploadsUseRemainingBandwidth(t *testing.T) {
	// The keys are bytes per second of other traffic, the values the expected limits of uploads.
	for others, limit := range map[int]int{0: 2, 100_000: 1, 150_000: 1, 200_000: 0} {
		u := uplink.New[int, int](narrow)
		sent, flow, sequence := 0, 1, 0
		const warm, measured = time.Second, 4 * time.Second
		for now := epoch; now.Before(epoch.Add(warm + measured)); now = now.Add(time.Millisecond) {
			u.RecordOther(now, others/1000)
			if now.Before(epoch.Add(warm)) {
				continue
			}
			require.LessOrEqual(t, u.Limit(now), 2)
			u.Admit(now, flow)
			for u.Enqueue(now, packet(flow, sequence)) == uplink.Queued {
				sequence++
			}
			for {
				p, due := u.Dequeue(now)
				if !due {
					break
				}
				sent += p.Size
			}
		}
		end := epoch.Add(warm + measured)
		require.Equal(t, limit, u.Limit(end), "beside %d bytes a second", others)
		taken := float64(sent)/measured.Seconds() + float64(others)
		require.Less(t, taken, 1.0*narrow, "the link's queue must not grow")
		require.Greater(t, float64(sent)/measured.Seconds(), 0.09*narrow, "admitted uploads make progress")
	}
}

// simulateUploads simulates uploads with windows of 16 packets over the link, and returns the longest
// queueing delay of a packet and the number of retransmissions.
func simulateUploads(t *testing.T, flows int) (longest time.Duration, retransmitted int) {
	u := uplink.New[int, int](narrow)
	sent := map[[2]int]time.Time{}
	next := make([]int, flows)
	offer := func(now time.Time, flow int) {
		next[flow]++
		sent[[2]int{flow, next[flow]}] = now
		require.Equal(t, uplink.Queued, u.Enqueue(now, packet(flow, next[flow])))
	}
	for flow := range flows {
		for range 16 {
			offer(epoch, flow)
		}
	}
	for now := epoch; now.Before(epoch.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
		for {
			p, due := u.Dequeue(now)
			if !due {
				break
			}
			k := [2]int{p.Flow, int(p.Sequence)}
			longest = max(longest, now.Sub(sent[k]))
			if now.Sub(sent[k]) > 200*time.Millisecond {
				retransmitted++
			}
			offer(now, p.Flow)
		}
	}
	return longest, retransmitted
}

func TestPacedUploadsAreNotRetransmitted(t *testing.T) {
	for flows := 1; flows <= 2; flows++ {
		longest, retransmitted := simulateUploads(t, flows)
		require.Zero(t, retransmitted, "%d uploads, longest wait %s", flows, longest)
	}
}

func TestRetransmissionOfQueuedPacketIsDropped(t *testing.T) {
	u := uplink.New[int, int](narrow)
	require.Equal(t, uplink.Queued, u.Enqueue(epoch, packet(1, 1)))
	require.Equal(t, uplink.Duplicate, u.Enqueue(epoch, packet(1, 1)))
	for n := 2; u.Enqueue(epoch, packet(1, n)) == uplink.Queued; n++ {
		require.Less(t, n, 100, "the queue is bounded")
	}
	wait, queued := u.NextDelay(epoch)
	require.True(t, queued)
	require.Positive(t, wait)
}
