package agreement

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// Current says that this voter leads with a lease, and so knows every
// accepted change: a majority promised to elect nobody else until it ends.
func (a *Agreement) Current(now time.Time) bool {
	return a.role == Leader && a.commit >= a.leaderFrom && now.Before(a.leaseEnd(now))
}

// leaseShare keeps the lease shorter than the others' promise, against clocks
// that run at different speeds.
const leaseShare = 0.8

func (a *Agreement) leaseEnd(now time.Time) time.Time {
	return a.confirmed(now).Add(time.Duration(float64(a.settings.Election) * leaseShare))
}

// ConfirmedSince says that this voter still led after the given time: a
// majority answered a message that was sent later. A lease alone would not do
// for reads: a VM that was suspended does not know that its lease ran out.
func (a *Agreement) ConfirmedSince(now, since time.Time) bool {
	return a.role == Leader && a.commit >= a.leaderFrom && !a.confirmed(now).Before(since)
}

// Confirm asks the followers for answers without waiting for the next heartbeat.
func (a *Agreement) Confirm(now time.Time) []Effect {
	a.effects = nil
	if a.role == Leader {
		a.replicateIdle(now)
	}
	return a.effects
}

// Commit returns the index up to which entries are known to be accepted.
func (a *Agreement) Commit() uint64 { return a.commit }

// confirmed returns the latest sending time that a majority answered.
func (a *Agreement) confirmed(now time.Time) time.Time {
	times := lo.FilterMap(a.voters, func(v Voter, _ int) (time.Time, bool) {
		switch p := a.progress[v.Id]; {
		case v.Learner:
			return time.Time{}, false
		case v.Id == a.settings.Self.Id:
			return now, true
		case p == nil:
			return time.Time{}, true
		default:
			return p.answered, true
		}
	})
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(x, y time.Time) int { return y.Compare(x) })
	return times[len(times)/2]
}
