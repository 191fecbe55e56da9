package evaluators

import (
	"github.com/cespare/xxhash/v2"

	"wasabideal/internal/fanout/rendezvous"
	"wasabideal/internal/silence/evidence"
)

// replicas is how many voters receive the evidence against one upstream. One voter is not enough,
// since it may have just restarted or be partitioned.
const replicas = 2

// Assign returns the events to send to each voter: unanswered packets to the voters that evaluate
// the upstream, and liveness reports to all voters, since any of them may suspect the upstream's
// zone. A balancer with a parent passes the parent in place of the voters.
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

// AssignAnswers returns the counts of answers to send to each voter. All counts of a service go to the
// same voters: each upstream is compared with the others of its service, and the number of upstreams
// at reduced weight is limited for each service.
func AssignAnswers(voters []string, answers []evidence.Answers) map[string][]evidence.Answers {
	nodes := rendezvous.New(voters)
	shares := make(map[string][]evidence.Answers, replicas)
	for _, a := range answers {
		for _, voter := range nodes.First(xxhash.Sum64String(a.Service), replicas) {
			shares[voter] = append(shares[voter], a)
		}
	}
	return shares
}
