package relay_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/verdicts"
)

// formerRequest and formerResponse are relay.Request and relay.Response as they were before they held
// verdicts on uneven upstreams.
type formerRequest struct {
	From        string
	Hold        time.Duration
	Revision    uint64
	Fleet       uint64
	Known       []origins.VoterVersion
	Evacuations uint64
}

type formerResponse struct {
	Revision     uint64
	Origins      []origins.Update
	Voters       []string
	Fleet        []member.Member `cbor:",omitempty"`
	FleetVersion uint64
	Held         time.Duration
	Balancers    int                     `cbor:",omitempty"`
	Evacuations  *evacuation.Evacuations `cbor:",omitempty"`
}

func exchange[Out any](t *testing.T, in any) (Out, []byte) {
	b, err := cbor.Marshal(in)
	require.NoError(t, err)
	var out Out
	require.NoError(t, cbor.Unmarshal(b, &out))
	return out, b
}

// During an update, a parent and its follower may be of different versions. A message that the other
// one cannot decode would cut the follower off.
func TestPollsOfBothVersions(t *testing.T) {
	known := []origins.VoterVersion{{Voter: "v1", Life: 1, Version: 2}}
	oldRequest := formerRequest{From: "b", Hold: time.Second, Revision: 3, Known: known, Evacuations: 4}
	request, _ := exchange[relay.Request](t, oldRequest)
	require.Equal(t, relay.Request{From: "b", Hold: time.Second, Revision: 3, Known: known, Evacuations: 4}, request)
	_, before := exchange[formerRequest](t, oldRequest)
	_, after := exchange[relay.Request](t, request)
	require.Equal(t, before, after, "without verdicts, the bytes are as before")
	request.TakesUneven, request.Uneven = true, []verdicts.Known{{Voter: "v1", Version: 9}}
	former, _ := exchange[formerRequest](t, request)
	require.Equal(t, oldRequest, former)

	oldResponse := formerResponse{Revision: 3, Voters: []string{"v1"}, FleetVersion: 2}
	response, _ := exchange[relay.Response](t, oldResponse)
	require.Equal(t, relay.Response{Revision: 3, Voters: []string{"v1"}, FleetVersion: 2}, response)
	_, before = exchange[formerResponse](t, oldResponse)
	_, after = exchange[relay.Response](t, response)
	require.Equal(t, before, after, "without verdicts, the bytes are as before")
	response.Uneven = []verdicts.Update{{Known: verdicts.Known{Voter: "v1", Version: 9}, Reduced: []evidence.Reduced{{Cookie: 1, Halvings: 2}}}}
	formerAnswer, _ := exchange[formerResponse](t, response)
	require.Equal(t, oldResponse, formerAnswer)
	same, _ := exchange[relay.Response](t, response)
	require.Equal(t, response, same)
}
