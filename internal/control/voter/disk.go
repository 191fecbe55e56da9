package voter

import (
	"time"

	"wasabideal/internal/control/agreement"
)

const (
	// reopenEvery is how often a disk that refused a write is tried again. Full
	// disks are emptied by operators within seconds, and each try costs one read
	// of the log.
	reopenEvery = 500 * time.Millisecond
	// markEvery bounds how late the disk learns which entries are accepted. It
	// is only needed where a voter restarts cut off from the others, and each
	// mark costs a sync.
	markEvery = 250 * time.Millisecond
)

// recoverDisk starts the voter anew from its disk after a refused write, as a
// restart would: a voter that stayed read-only until an operator came would be
// missing in the majority long after its disk had room again.
func (v *Voter) recoverDisk() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	if v.failedAt.IsZero() || v.settings.Reopen == nil || now.Sub(v.failedAt) < reopenEvery {
		return
	}
	v.failedAt = now
	if err := v.wal.Close(); err != nil {
		v.log.Debug("log not closed", "Error", err)
	}
	w, durable, err := v.settings.Reopen()
	if err != nil {
		v.log.Warn("disk still refuses", "Error", err)
		return
	}
	if err := v.load(w, durable); err != nil {
		v.log.Error("snapshot on the disk cannot be read", "Error", err)
		return
	}
	v.failedAt = time.Time{}
	v.log.Info("disk works again", "Revision", v.ledger.Current().Revision)
}

// markAccepted notes on the disk which entries are accepted.
func (v *Voter) markAccepted() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	commit := v.agreement.Commit()
	if commit <= v.marked || !v.failedAt.IsZero() || now.Sub(v.markedAt) < markEvery {
		return
	}
	v.marked, v.markedAt = commit, now
	v.carryOut([]agreement.Effect{{Persist: &agreement.Persist{Commit: commit}}})
	v.drain()
}
