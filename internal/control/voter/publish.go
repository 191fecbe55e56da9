package voter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/wire/rpc"
)

const (
	// leaderWait is how long a call waits for a leader to be known: elections
	// end within it, and callers give a call about a second.
	leaderWait = 700 * time.Millisecond
	// leaderPoll is how often a waiting call looks for a leader.
	leaderPoll = 25 * time.Millisecond
	// leaderCall bounds one call to the leader.
	leaderCall = 900 * time.Millisecond
)

// NoLeaderError says that a call found no voter that leads.
type NoLeaderError struct{ Waited time.Duration }

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no voter led within %s; nothing was changed, try again or elsewhere", e.Waited)
}

// UnconfirmedError says that no majority confirmed that this voter still leads.
type UnconfirmedError struct{}

func (UnconfirmedError) Error() string {
	return "no majority answered in time, so a newer configuration may exist; ask again or elsewhere"
}

// Publish accepts a configuration that carries its own revision, here or at the
// leader; the highest revision wins and equal or older ones change nothing.
func (v *Voter) Publish(ctx context.Context, c configuration.Configuration, key, who string) (ledger.Answer, error) {
	if answer := ledger.Examine(c); answer.Verdict == ledger.Invalid {
		return answer, nil
	}
	if held := v.Held(); c.Revision <= held.Revision {
		return ledger.Answer{Verdict: ledger.Superseded, Revision: held.Revision}, nil
	}
	change := ledger.Change{ChangeKey: key, Who: who, Publish: &c}
	return atLeader(ctx, v, change, PublishMethod, v.publishHere)
}

func (v *Voter) publishHere(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	return v.Change(ctx, c)
}

// Held returns the configuration in force as far as this voter knows.
func (v *Voter) Held() configuration.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Current()
}

// Read returns the newest accepted configuration, or an error where nobody can
// be sure of it; a majority confirms it after the call began.
func (v *Voter) Read(ctx context.Context) (configuration.Configuration, error) {
	return atLeader(ctx, v, empty{}, ReadMethod, v.readHere)
}

// atLeader makes a call here if this voter leads, else at the one that does.
func atLeader[In, Out any](ctx context.Context, v *Voter, in In, method string, here func(context.Context, In) (Out, error)) (Out, error) {
	var none Out
	deadline := v.settings.Clock().Add(leaderWait)
	for {
		leader, self := v.leader()
		switch {
		case self:
			out, err := here(ctx, in)
			var moved *agreement.NotLeaderError
			if !errors.As(err, &moved) {
				return out, err
			}
		case leader != "":
			call, cancel := context.WithTimeout(ctx, leaderCall)
			client := rpc.NewClient(leader, v.settings.GroupToken)
			out, err := rpc.Call[In, Out](call, client, method, in)
			client.Close()
			cancel()
			if err == nil {
				return out, nil
			}
			v.log.Debug("call to the leader failed", "Method", method, "Leader", leader, "Error", err)
			var lost *rpc.LostError
			if errors.As(err, &lost) {
				return none, err
			}
		}
		if v.settings.Clock().After(deadline) {
			return none, &NoLeaderError{Waited: leaderWait}
		}
		select {
		case <-ctx.Done():
			return none, &NoLeaderError{Waited: leaderWait}
		case <-time.After(leaderPoll):
		}
	}
}

// leader returns the address of the voter that leads, and whether it is this one.
func (v *Voter) leader() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.agreement.Status(v.settings.Clock())
	return s.Leader.Address, s.Role == agreement.Leader
}

// pendingRead is a read that waits for a majority's answers.
type pendingRead struct {
	since time.Time
	done  chan configuration.Configuration
}

func (v *Voter) readHere(ctx context.Context, _ empty) (configuration.Configuration, error) {
	v.mu.Lock()
	now := v.settings.Clock()
	s := v.agreement.Status(now)
	if s.Role != agreement.Leader {
		v.mu.Unlock()
		return configuration.Configuration{}, &agreement.NotLeaderError{Leader: s.Leader}
	}
	r := &pendingRead{since: now, done: make(chan configuration.Configuration, 1)}
	v.reads = append(v.reads, r)
	v.carryOut(v.agreement.Confirm(now))
	v.drain()
	v.mu.Unlock()
	timeout := time.NewTimer(leaderCall)
	defer timeout.Stop()
	select {
	case c := <-r.done:
		v.counts.readsDone.Inc(1)
		return c, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	v.counts.readsRefused.Inc(1)
	return configuration.Configuration{}, UnconfirmedError{}
}

// answerReads answers the reads that a majority has confirmed and drops those
// whose callers have gone; the lock is held.
func (v *Voter) answerReads() {
	if len(v.reads) == 0 {
		return
	}
	now := v.settings.Clock()
	var left []*pendingRead
	for _, r := range v.reads {
		switch {
		case v.agreement.ConfirmedSince(now, r.since):
			r.done <- v.ledger.Current()
		case now.Sub(r.since) <= leaderCall:
			left = append(left, r)
		}
	}
	v.reads = left
}
