package voter

import (
	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
)

// execute runs the effects of the state machine in order. It stops at a failed write, so that
// no message acknowledges data that was not stored.
func (v *Voter) execute(effects []agreement.Effect) {
	for _, x := range effects {
		switch {
		case x.Send != nil:
			v.send(*x.Send)
		case x.Persist != nil:
			start := v.settings.Clock()
			err := v.wal.Write(*x.Persist)
			v.counts.syncLatency.Record(v.settings.Clock().Sub(start))
			if err != nil {
				v.counts.failedWrites.Inc(1)
				v.log.Error("voter is read-only now", "Error", err)
				v.failedAt = v.settings.Clock()
				v.events = append(v.events, agreement.Event{DiskFailed: true})
				return
			}
			v.afterSync(*x.Persist)
		case x.Apply != nil:
			v.apply(*x.Apply)
		case x.Restore != nil:
			v.restore(*x.Restore)
		}
	}
}

func (v *Voter) afterSync(p agreement.Persist) {
	for _, m := range p.SendAfterSync {
		v.send(m)
	}
	last := uint64(0)
	if p.Snapshot != nil {
		last = p.Snapshot.Index
	}
	if n := len(p.Entries); n > 0 {
		last = p.Entries[n-1].Index
	}
	if last > 0 {
		v.events = append(v.events, agreement.Event{Persisted: last})
	}
}

func (v *Voter) apply(e agreement.Entry) {
	w, isWaiting := v.waiters[e.Index]
	delete(v.waiters, e.Index)
	if e.Kind != agreement.Command {
		return
	}
	change, answer, record := v.ledger.Apply(e.Data)
	v.publish()
	v.counts.applied.Inc(1)
	if !v.replaying {
		v.logApplied(e.Index, change, answer)
	}
	if record != nil {
		v.trail.Write(e.Index, *record)
	}
	// An entry of another term at the same index is a different change.
	if isWaiting && w.term == e.Term {
		w.answer <- answer
	}
}

func (v *Voter) logApplied(index uint64, c ledger.Change, a ledger.Answer) {
	if x := c.Evacuate; x != nil {
		v.log.Info("evacuation applied", "Index", index, "Zone", x.Zone, "On", x.On, "Verdict", a.Verdict, "Expected", c.ExpectRevision,
			"Held", a.Revision, "Who", c.Who)
		return
	}
	v.log.Info("change applied", "Index", index, "Verdict", a.Verdict, "Revision", a.Revision)
}

func (v *Voter) restore(s agreement.Snapshot) {
	if err := v.ledger.Restore(s.Data); err != nil {
		v.log.Error("restoring the snapshot from the leader failed", "Error", err)
		v.events = append(v.events, agreement.Event{DiskFailed: true})
		return
	}
	v.publish()
}

func (v *Voter) compactIfNeeded() {
	if s := v.agreement.Status(v.settings.Clock()); s.Joint || s.Kept < v.settings.CompactAfter {
		return
	}
	data, err := v.ledger.Snapshot()
	if err != nil {
		v.log.Error("encoding the snapshot failed", "Error", err)
		return
	}
	v.execute(v.agreement.Reduce(v.settings.Clock(), agreement.Event{Compact: data}))
}
