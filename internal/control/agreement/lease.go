package agreement

import "time"

// HoldsLease reports whether this voter is the leader and its lease holds. It then has every
// committed change, since no majority elects another leader until the lease ends.
func (a *Node) HoldsLease(now time.Time) bool {
	return a.role == Leader && a.commit >= a.termStartIndex && now.Before(a.leaseEnd(now))
}

// leaseFraction makes the lease shorter than the election timeout, to allow for
// clocks that run at different speeds.
const leaseFraction = 0.8

// leaseEnd returns when the leader's lease ends.
func (a *Node) leaseEnd(now time.Time) time.Time {
	return a.quorumAckTime(now).Add(time.Duration(float64(a.settings.Election) * leaseFraction))
}

// ConfirmedSince reports whether this voter was still the leader at the time since: a majority
// has acknowledged a message that this voter sent at that time or later. A lease alone does not
// make reads safe, since a voter on a suspended VM does not notice that its lease expired.
func (a *Node) ConfirmedSince(now, since time.Time) bool {
	return a.role == Leader && a.commit >= a.termStartIndex && !a.quorumAckTime(now).Before(since)
}

// SendHeartbeats sends a message at once to each follower without a message in flight, if
// this voter is the leader.
func (a *Node) SendHeartbeats(now time.Time) []Effect {
	a.effects = nil
	if a.role == Leader {
		a.replicateIdle(now)
	}
	return a.effects
}

// Commit returns the highest index known to be committed.
func (a *Node) Commit() uint64 { return a.commit }

// quorumAckTime returns the latest time such that a majority has acknowledged messages sent at
// that time or later.
func (a *Node) quorumAckTime(now time.Time) time.Time {
	return quorumValue(a.list, func(id string) time.Time {
		if id == a.settings.Self.Id {
			return now
		}
		if p := a.progress[id]; p != nil {
			return p.ackedSendTime
		}
		return time.Time{}
	}, time.Time.Compare)
}
