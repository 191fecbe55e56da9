package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/upstream/directory"
)

// formerRequest and formerResponse are feed.Request and feed.Response as they were before they held
// verdicts on uneven upstreams.
type formerRequest struct {
	Revision      uint64
	Life, Version uint64
	Recalled      bool
	Hold          time.Duration
	Encoded       bool
	Unconfigured  bool
	From          string
	Doubts        uint64
	Self          *member.Member `cbor:",omitempty"`
	Fleet         uint64
	Passing       int
	Evacuations   uint64
}

type formerResponse struct {
	Revision      uint64
	Life          uint64
	Version       uint64
	Notices       []directory.Notice
	Encoded       cbor.RawMessage `cbor:",omitempty"`
	Elsewhere     cbor.RawMessage `cbor:",omitempty"`
	Configuration cbor.RawMessage `cbor:",omitempty"`
	Members       []string
	Doubts        []evidence.Suspicion
	DoubtsVersion uint64
	Zone          string
	Fleet         []member.Member `cbor:",omitempty"`
	FleetVersion  uint64
	Balancers     int                     `cbor:",omitempty"`
	Evacuations   *evacuation.Evacuations `cbor:",omitempty"`
}

func exchange[Out any](t *testing.T, in any) (Out, []byte) {
	b, err := cbor.Marshal(in)
	require.NoError(t, err)
	var out Out
	require.NoError(t, cbor.Unmarshal(b, &out))
	return out, b
}

// During an update, voters and balancers of both versions run. A message that the other side cannot
// decode would cut the balancer off from the voter.
func TestPollsOfBothVersions(t *testing.T) {
	oldRequest := formerRequest{Revision: 1, Life: 2, Version: 3, From: "b", Doubts: 4}
	request, _ := exchange[feed.Request](t, oldRequest)
	require.Equal(t, feed.Request{Revision: 1, Life: 2, Version: 3, From: "b", Doubts: 4}, request)
	_, before := exchange[formerRequest](t, oldRequest)
	_, after := exchange[feed.Request](t, request)
	require.Equal(t, before, after, "without verdicts, the bytes are as before")
	request.Uneven = new(uint64)
	former, _ := exchange[formerRequest](t, request)
	require.Equal(t, oldRequest, former)
	same, _ := exchange[feed.Request](t, request)
	require.Equal(t, request, same, "a version of 0 differs from none")

	oldResponse := formerResponse{Revision: 1, Life: 2, Members: []string{"v1"}}
	response, _ := exchange[feed.Response](t, oldResponse)
	require.Equal(t, feed.Response{Revision: 1, Life: 2, Members: []string{"v1"}}, response)
	_, before = exchange[formerResponse](t, oldResponse)
	_, after = exchange[feed.Response](t, response)
	require.Equal(t, before, after, "without verdicts, the bytes are as before")
	response.Uneven, response.UnevenVersion = []evidence.Reduced{{Cookie: 1, Halvings: 2}}, 9
	formerAnswer, _ := exchange[formerResponse](t, response)
	require.Equal(t, oldResponse, formerAnswer)
}

// A balancer that knows no verdicts must get none, and its polls must not complete because of them: it
// would poll again at once in an endless loop.
func TestVerdictsGoToBalancersThatRequestThem(t *testing.T) {
	now := epoch
	f := feed.New(1, directory.New(directory.Settings{SilentAfter: time.Minute, ForgetAfter: time.Hour}), func() time.Time { return now })
	for n := range uint64(8) {
		now = now.Add(250 * time.Millisecond)
		for b := range 3 {
			f.Report(now, unevenReport(fmt.Sprint("b", b), n))
		}
		f.Tick(now)
	}
	poll := func(uneven *uint64) feed.Response {
		return f.Since(t.Context(), feed.Request{Life: 1, Uneven: uneven, Hold: 10 * time.Millisecond})
	}
	first := poll(new(uint64))
	require.Len(t, first.Uneven, 1)
	require.Equal(t, uint32(1), first.Uneven[0].Cookie)
	require.NotZero(t, first.UnevenVersion)
	second := poll(&first.UnevenVersion)
	require.Empty(t, second.Uneven)
	require.Equal(t, first.UnevenVersion, second.UnevenVersion)
	start := time.Now()
	without := poll(nil)
	require.Zero(t, without.UnevenVersion)
	require.Empty(t, without.Uneven)
	require.GreaterOrEqual(t, time.Since(start), 10*time.Millisecond, "the poll was held")
}

// unevenReport counts the answers of twelve upstreams of which the first rejects every request.
func unevenReport(from string, batch uint64) evidence.Report {
	a := evidence.Answers{Service: "orders", Total: 24, Short: 2, Upstreams: 12, Zones: []evidence.ZoneAnswers{{Zone: "a", Slots: 24}}}
	for cookie := range uint32(12) {
		c := evidence.Count{Cookie: cookie + 1, Total: 2, Slots: 2}
		if cookie == 0 {
			c.Short = 2
		}
		a.Zones[0].Counts = append(a.Zones[0].Counts, c)
	}
	return evidence.Report{From: from, Batch: batch + 1, Answers: []evidence.Answers{a}}
}
