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
	// leaderTimeout is how long a call waits until a leader is known. It exceeds the minimum
	// election timeout (600 ms in platform/process), but not the maximum, since callers time out
	// after about a second.
	leaderTimeout = 700 * time.Millisecond
	// leaderPollInterval is the time between two checks for a leader.
	leaderPollInterval = 25 * time.Millisecond
	// leaderCallTimeout bounds one call to the leader.
	leaderCallTimeout = 900 * time.Millisecond
)

// NoLeaderError reports that no leader was known in time.
type NoLeaderError struct{ Waited time.Duration }

func (e *NoLeaderError) Error() string {
	return fmt.Sprintf("no voter led within %s; nothing was changed, try again or elsewhere", e.Waited)
}

// UnconfirmedError reports that no majority confirmed this voter's leadership.
type UnconfirmedError struct{}

func (UnconfirmedError) Error() string {
	return "no majority answered in time, so a newer configuration may exist; ask again or elsewhere"
}

// Publish commits a configuration that carries its own revision, on this voter or through the
// leader. The highest revision wins; an equal or lower one changes nothing.
func (v *Voter) Publish(ctx context.Context, c configuration.Configuration, key, who string) (ledger.Answer, error) {
	if answer := ledger.ValidatePublished(c); answer.Verdict == ledger.Invalid {
		return answer, nil
	}
	if held := v.AppliedConfiguration(); c.Revision <= held.Revision {
		return ledger.Answer{Verdict: ledger.Superseded, Revision: held.Revision}, nil
	}
	change := ledger.Change{ChangeKey: key, Who: who, Publish: &c}
	return callLeader(ctx, v, change, PublishMethod, v.publishLocal)
}

func (v *Voter) publishLocal(ctx context.Context, c ledger.Change) (ledger.Answer, error) {
	return v.Change(ctx, c)
}

// AppliedConfiguration returns the newest configuration that this voter has applied.
func (v *Voter) AppliedConfiguration() configuration.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ledger.Current()
}

// Read returns the newest committed configuration. The read is linearizable: Read returns an error
// unless a majority confirms the leader after the call began.
func (v *Voter) Read(ctx context.Context) (configuration.Configuration, error) {
	return callLeader(ctx, v, empty{}, ReadMethod, v.readLocal)
}

// callLeader runs a call locally if this voter leads, and otherwise sends it to the leader. It
// retries for leaderTimeout while no leader is known or the leader returns an error, but not after a
// lost response: the leader may have run the call.
func callLeader[In, Out any](ctx context.Context, v *Voter, in In, method string, local func(context.Context, In) (Out, error)) (Out, error) {
	var none Out
	deadline := v.settings.Clock().Add(leaderTimeout)
	for {
		leader, self := v.leader()
		switch {
		case self:
			out, err := local(ctx, in)
			var notLeader *agreement.NotLeaderError
			if !errors.As(err, &notLeader) {
				return out, err
			}
		case leader != "":
			call, cancel := context.WithTimeout(ctx, leaderCallTimeout)
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
			return none, &NoLeaderError{Waited: leaderTimeout}
		}
		select {
		case <-ctx.Done():
			return none, &NoLeaderError{Waited: leaderTimeout}
		case <-time.After(leaderPollInterval):
		}
	}
}

// leader returns the address of the leader and whether this voter is the leader.
func (v *Voter) leader() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.agreement.Status(v.settings.Clock())
	return s.Leader.Address, s.Role == agreement.Leader
}

// pendingRead is a read that waits until a majority confirms the leader.
type pendingRead struct {
	// since is when the read began.
	since time.Time
	done  chan configuration.Configuration
}

func (v *Voter) readLocal(ctx context.Context, _ empty) (configuration.Configuration, error) {
	v.mu.Lock()
	now := v.settings.Clock()
	s := v.agreement.Status(now)
	if s.Role != agreement.Leader {
		v.mu.Unlock()
		return configuration.Configuration{}, &agreement.NotLeaderError{Leader: s.Leader}
	}
	r := &pendingRead{since: now, done: make(chan configuration.Configuration, 1)}
	v.reads = append(v.reads, r)
	v.execute(v.agreement.SendHeartbeats(now))
	v.processEvents()
	v.mu.Unlock()
	timeout := time.NewTimer(leaderCallTimeout)
	defer timeout.Stop()
	select {
	case c := <-r.done:
		v.counts.confirmedReads.Inc(1)
		return c, nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	v.counts.unconfirmedReads.Inc(1)
	return configuration.Configuration{}, UnconfirmedError{}
}

// completeReads completes the reads that a majority has confirmed and drops the reads that
// have timed out. The caller holds the lock.
func (v *Voter) completeReads() {
	if len(v.reads) == 0 {
		return
	}
	now := v.settings.Clock()
	var left []*pendingRead
	for _, r := range v.reads {
		switch {
		case v.agreement.ConfirmedSince(now, r.since):
			r.done <- v.ledger.Current()
		case now.Sub(r.since) <= leaderCallTimeout:
			left = append(left, r)
		}
	}
	v.reads = left
}
