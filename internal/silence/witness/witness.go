package witness

import (
	"wasabideal/internal/fanout/rendezvous"
	"wasabideal/internal/silence/word"
)

// replicas is how many voters receive the evidence of one upstream, since one of them may have
// just restarted or be partitioned.
const replicas = 2

// Share returns the events to send to each voter. Liveness reports go to all voters, since any
// of them may suspect the upstream's zone.
func Share(voters []string, events []word.Event) map[string][]word.Event {
	nodes := rendezvous.New(voters)
	shares := make(map[string][]word.Event, len(voters))
	for _, e := range events {
		recipients := voters
		if !e.Answered {
			recipients = nodes.First(e.Incarnation, replicas)
		}
		for _, voter := range recipients {
			shares[voter] = append(shares[voter], e)
		}
	}
	return shares
}
