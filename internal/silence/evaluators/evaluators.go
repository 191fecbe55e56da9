package evaluators

import (
	"wasabideal/internal/fanout/rendezvous"
	"wasabideal/internal/silence/evidence"
)

// replicas is how many voters receive the evidence against one upstream, since one of them may have
// just restarted or be partitioned.
const replicas = 2

// Assign returns the events to send to each voter. Liveness reports go to all voters, since any
// of them may suspect the upstream's zone.
func Assign(voters []string, events []evidence.Event) map[string][]evidence.Event {
	nodes := rendezvous.New(voters)
	shares := make(map[string][]evidence.Event, len(voters))
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
