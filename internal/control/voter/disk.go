package voter

import (
	"time"

	"wasabideal/internal/control/agreement"
)

const (
	// reopenInterval is the time between attempts to reopen the log after a failed write.
	// Operators free a full disk within seconds, and each attempt reads the whole log.
	reopenInterval = 500 * time.Millisecond
	// commitPersistInterval is the least time between writes of the commit index. The index
	// is needed only by a voter that restarts without contact to the others, and each write
	// costs a sync.
	commitPersistInterval = 250 * time.Millisecond
)

// recoverDisk reloads the voter from its disk after a failed write, as a restart would. If
// the voter stayed read-only until an operator restarted the process, the majority would lack
// its vote long after the disk has space again.
func (v *Voter) recoverDisk() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	if v.failedAt.IsZero() || v.settings.Reopen == nil || now.Sub(v.failedAt) < reopenInterval {
		return
	}
	v.failedAt = now
	if err := v.wal.Close(); err != nil {
		v.log.Debug("closing the log failed", "Error", err)
	}
	w, durable, err := v.settings.Reopen()
	if err != nil {
		v.log.Warn("reopening the log failed", "Error", err)
		return
	}
	if err := v.load(w, durable); err != nil {
		v.log.Error("restoring the snapshot from disk failed", "Error", err)
		return
	}
	v.failedAt = time.Time{}
	v.log.Info("disk works again", "Revision", v.ledger.Current().Revision)
}

// persistCommit writes the commit index to the disk.
func (v *Voter) persistCommit() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.settings.Clock()
	commit := v.agreement.Commit()
	if commit <= v.persistedCommit || !v.failedAt.IsZero() || now.Sub(v.commitPersistedAt) < commitPersistInterval {
		return
	}
	v.persistedCommit, v.commitPersistedAt = commit, now
	v.execute([]agreement.Effect{{Persist: &agreement.Persist{Commit: commit}}})
	v.processEvents()
}
