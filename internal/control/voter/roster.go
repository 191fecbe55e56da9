package voter

import (
	"context"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/rostermanager"
)

// leaderRosterManager returns the roster manager, which it creates on the first call under a valid
// leader's lease. Without a valid lease, it discards the manager and returns an error. The caller
// holds the lock.
func (v *Voter) leaderRosterManager(now time.Time) (*rostermanager.Manager, error) {
	s := v.agreement.Status(now)
	if !s.Current {
		v.rosterManager = nil
		return nil, &agreement.NotLeaderError{Leader: s.Leader}
	}
	if v.rosterManager == nil {
		v.rosterManager = rostermanager.New(v.settings.RosterManager, now)
	}
	return v.rosterManager, nil
}

func (v *Voter) recordReport(_ context.Context, r rostermanager.Report) (empty, error) {
	return empty{}, v.withRosterManager(func(now time.Time, mgr *rostermanager.Manager) { mgr.Record(now, r) })
}

func (v *Voter) forget(_ context.Context, name string) (empty, error) {
	return empty{}, v.withRosterManager(func(now time.Time, mgr *rostermanager.Manager) { mgr.Forget(now, name) })
}

// withRosterManager calls a function with the roster manager, or returns an error that names the leader.
func (v *Voter) withRosterManager(update func(time.Time, *rostermanager.Manager)) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	mgr, err := v.leaderRosterManager(now)
	if err != nil {
		return err
	}
	update(now, mgr)
	return nil
}

// updateRoster proposes the roster manager's next change, if any.
func (v *Voter) updateRoster() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	mgr, err := v.leaderRosterManager(now)
	if err != nil {
		return
	}
	c := mgr.Decide(now, v.ledger.Roster())
	if c == nil {
		return
	}
	data, err := ledger.EncodeRoster(*c)
	if err != nil {
		v.log.Error("encoding the roster failed", "Error", err)
		return
	}
	_, effects, err := v.agreement.Propose(now, data)
	if err != nil {
		return
	}
	v.execute(effects)
	v.processEvents()
}
