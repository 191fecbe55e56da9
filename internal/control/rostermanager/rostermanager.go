package rostermanager

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/flow/ownership"
	"wasabideal/internal/model/roster"
)

// Settings configures a Manager.
type Settings struct {
	// ChangeInterval is the minimum time between two changes of the list, so that balancers
	// that start together are added in one change.
	ChangeInterval time.Duration
	// Silent is how long a balancer stays in the list without a report.
	Silent time.Duration
	// KeyRetention is how long keys are stored.
	KeyRetention time.Duration
}

// Report is the periodic report of a balancer to the leading voter.
type Report struct {
	Member  roster.Member
	Leaving bool
	// Moved is the roster epoch up to which the balancer has copied its records of idempotency keys.
	Moved uint64
}

// report is the last report of one balancer.
type report struct {
	Report
	receivedAt time.Time
}

// Manager tracks the reports of the balancers; it is not safe for concurrent use.
type Manager struct {
	settings    Settings
	leaderSince time.Time
	lastChange  time.Time
	reports     map[string]report
	// endedAt is when each listed balancer process became known to have ended, by name.
	endedAt map[string]time.Time
}

// New returns a manager for a voter that becomes the leader now.
func New(s Settings, now time.Time) *Manager {
	return &Manager{settings: s, leaderSince: now, lastChange: now, reports: map[string]report{}, endedAt: map[string]time.Time{}}
}

// Record records a balancer's report.
func (mgr *Manager) Record(now time.Time, r Report) {
	mgr.reports[r.Member.Name] = report{Report: r, receivedAt: now}
}

// Forget records an operator's statement that a balancer will not return.
func (mgr *Manager) Forget(now time.Time, name string) { mgr.endedAt[name] = now }

// Decide returns the next change of the roster, if any.
func (mgr *Manager) Decide(now time.Time, r roster.Roster) *ledger.RosterChange {
	if now.Sub(mgr.lastChange) < mgr.settings.ChangeInterval {
		return nil
	}
	if !r.Settled() {
		if mgr.settled(now, r) {
			mgr.lastChange = now
			return &ledger.RosterChange{ExpectVersion: r.Version, Settle: true}
		}
		return nil
	}
	desiredMembers := mgr.desiredMembers(now, r)
	if len(desiredMembers) == 0 || slices.Equal(desiredMembers, r.Members) {
		return nil
	}
	mgr.lastChange = now
	return &ledger.RosterChange{ExpectVersion: r.Version, Members: desiredMembers}
}

// desiredMembers returns the balancers that report and are not leaving. A new
// leader also keeps the listed balancers until they have had time to report.
func (mgr *Manager) desiredMembers(now time.Time, r roster.Roster) []roster.Member {
	var ms []roster.Member
	for _, last := range mgr.reports {
		if !last.Leaving && now.Sub(last.receivedAt) < mgr.settings.Silent {
			ms = append(ms, last.Member)
		}
	}
	for _, m := range r.Members {
		if _, ok := mgr.reports[m.Name]; !ok && now.Sub(mgr.leaderSince) < mgr.settings.Silent {
			ms = append(ms, m)
		}
	}
	slices.SortFunc(ms, func(a, b roster.Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// settled reports whether the previous list is no longer needed, because every hash slot (see
// package ownership) is settled.
func (mgr *Manager) settled(now time.Time, r roster.Roster) bool {
	v := roster.NewView(r)
	for slot := range ownership.Slots {
		replicas := v.Previous(slot)
		if !mgr.slotSettled(now, r.Epoch, replicas) {
			return false
		}
	}
	return true
}

// slotSettled reports whether one slot is settled, given its replicas in the previous list. A slot
// is settled once a majority of the replicas has copied its records: then no claim can succeed
// under the old epoch, and every record that a majority held is copied. A slot is also settled
// once each replica has copied the records or ended at least KeyRetention ago: the records of
// ended replicas are unreachable and have expired by then.
func (mgr *Manager) slotSettled(now time.Time, epoch uint64, replicas []roster.Member) bool {
	moved, expiredCount := 0, 0
	for _, m := range replicas {
		switch last, ok := mgr.reports[m.Name]; {
		case ok && last.Member.Start == m.Start:
			if last.Moved >= epoch {
				moved++
			}
		case mgr.expired(now, m):
			expiredCount++
		}
	}
	return moved >= roster.Majority(replicas) || moved+expiredCount >= roster.Majority(replicas) && moved+expiredCount == len(replicas)
}

// expired reports whether a listed balancer process is known to have ended at
// least KeyRetention ago: a newer process of the same name reported, or an operator
// removed the balancer.
func (mgr *Manager) expired(now time.Time, m roster.Member) bool {
	if last, ok := mgr.reports[m.Name]; ok && last.Member.Start > m.Start {
		if _, known := mgr.endedAt[m.Name]; !known {
			mgr.endedAt[m.Name] = now
		}
	}
	at, known := mgr.endedAt[m.Name]
	return known && now.Sub(at) >= mgr.settings.KeyRetention
}
