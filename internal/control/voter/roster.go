package voter

import (
	"context"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/control/rostermanager"
)

// leaderRosterManager returns the roster manager while this voter leads with a valid lease. The caller holds the lock.
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

func (v *Voter) recordReport(_ context.Context, h rostermanager.Report) (empty, error) {
	return empty{}, v.withRosterManager(func(now time.Time, k *rostermanager.Manager) { k.Record(now, h) })
}

func (v *Voter) forget(_ context.Context, name string) (empty, error) {
	return empty{}, v.withRosterManager(func(now time.Time, k *rostermanager.Manager) { k.Forget(now, name) })
}

// withRosterManager calls a function with the roster manager, or returns an error that names the leader.
func (v *Voter) withRosterManager(update func(time.Time, *rostermanager.Manager)) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	k, err := v.leaderRosterManager(now)
	if err != nil {
		return err
	}
	update(now, k)
	return nil
}

// updateRoster proposes the roster change that the roster manager decides on, if any.
func (v *Voter) updateRoster() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	k, err := v.leaderRosterManager(now)
	if err != nil {
		return
	}
	c := k.Decide(now, v.ledger.Roster())
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
