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
	// Moved is the epoch up to which the balancer has copied its records.
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
	// endedAt is when the manager learned that a listed balancer process had ended.
	endedAt map[string]time.Time
}

// New returns a manager for a voter that becomes the leader now.
func New(s Settings, now time.Time) *Manager {
	return &Manager{settings: s, leaderSince: now, lastChange: now, reports: map[string]report{}, endedAt: map[string]time.Time{}}
}

// Record records a balancer's report.
func (k *Manager) Record(now time.Time, h Report) {
	k.reports[h.Member.Name] = report{Report: h, receivedAt: now}
}

// Forget records that a balancer is gone for good, as stated by an operator.
func (k *Manager) Forget(now time.Time, name string) { k.endedAt[name] = now }

// Decide returns the next change of the roster, if any.
func (k *Manager) Decide(now time.Time, r roster.Roster) *ledger.RosterChange {
	if now.Sub(k.lastChange) < k.settings.ChangeInterval {
		return nil
	}
	if !r.Settled() {
		if k.settled(now, r) {
			k.lastChange = now
			return &ledger.RosterChange{ExpectVersion: r.Version, Settle: true}
		}
		return nil
	}
	desiredMembers := k.desiredMembers(now, r)
	if len(desiredMembers) == 0 || slices.Equal(desiredMembers, r.Members) {
		return nil
	}
	k.lastChange = now
	return &ledger.RosterChange{ExpectVersion: r.Version, Members: desiredMembers}
}

// desiredMembers returns the balancers that report and are not leaving. A new
// leader also keeps the listed ones until they have had time to report.
func (k *Manager) desiredMembers(now time.Time, r roster.Roster) []roster.Member {
	var ms []roster.Member
	for _, h := range k.reports {
		if !h.Leaving && now.Sub(h.receivedAt) < k.settings.Silent {
			ms = append(ms, h.Member)
		}
	}
	for _, m := range r.Members {
		if _, ok := k.reports[m.Name]; !ok && now.Sub(k.leaderSince) < k.settings.Silent {
			ms = append(ms, m)
		}
	}
	slices.SortFunc(ms, func(a, b roster.Member) int { return cmp.Compare(a.Name, b.Name) })
	return ms
}

// settled reports whether the previous list is no longer needed. In every slot, a
// majority of it has moved to the new epoch: no claim can succeed under the old
// epoch, and every record that a majority held is copied. If a majority is known to
// have ended, its records are unreachable and expire after a window.
func (k *Manager) settled(now time.Time, r roster.Roster) bool {
	v := roster.NewView(r)
	for slot := range ownership.Slots {
		set := v.Previous(slot)
		if !k.slotSettled(now, r.Epoch, set) {
			return false
		}
	}
	return true
}

// slotSettled reports whether one slot of the previous list is settled.
func (k *Manager) slotSettled(now time.Time, epoch uint64, set []roster.Member) bool {
	moved, expiredCount := 0, 0
	for _, m := range set {
		switch h, ok := k.reports[m.Name]; {
		case ok && h.Member.Start == m.Start:
			if h.Moved >= epoch {
				moved++
			}
		case k.expired(now, m):
			expiredCount++
		}
	}
	return moved >= roster.Majority(set) || moved+expiredCount >= roster.Majority(set) && moved+expiredCount == len(set)
}

// expired reports whether a listed balancer process is known to have ended at
// least a window ago: a newer process of the same name reported, or an operator
// removed the balancer.
func (k *Manager) expired(now time.Time, m roster.Member) bool {
	if h, ok := k.reports[m.Name]; ok && h.Member.Start > m.Start {
		if _, known := k.endedAt[m.Name]; !known {
			k.endedAt[m.Name] = now
		}
	}
	at, known := k.endedAt[m.Name]
	return known && now.Sub(at) >= k.settings.KeyRetention
}
