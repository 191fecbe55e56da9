package feed

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/upstream/directory"
)

// Since answers at once if there is news, else after the hold or with the news.
func (f *Feed) Since(ctx context.Context, q Question) Answer {
	hold := time.NewTimer(q.Hold)
	defer hold.Stop()
	for {
		a, news, changed := f.answer(q)
		if news {
			return a
		}
		select {
		case <-changed:
		case <-hold.C:
			return a
		case <-ctx.Done():
			return a
		}
	}
}

func (f *Feed) encodedConfiguration(revision uint64) (cbor.RawMessage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encodedSince(revision)
}

func (f *Feed) encodedSince(revision uint64) (cbor.RawMessage, error) {
	key := configurationKey{held: revision, current: f.history.Current().Revision}
	return f.configuration.get(f.clock(), key, func() any { return f.since(revision) })
}

// smallConfiguration returns the encoded configuration, nothing where there is none or it
// is large: a balancer that starts alone asks some voters at once, whose answers together
// would fill a narrow link. It asks for a large one separately.
func (f *Feed) smallConfiguration() cbor.RawMessage {
	if f.history.Current().Revision == 0 {
		return nil
	}
	encoded, err := f.encodedSince(0)
	if err != nil || len(encoded) > configurationMost {
		return nil
	}
	return encoded
}

// Configuration returns what leads from a held revision to the newest.
func (f *Feed) Configuration(revision uint64) history.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(revision)
}

func (f *Feed) since(revision uint64) history.Answer {
	a := f.history.Since(revision)
	if len(a.Deltas) > deltasMost {
		return f.history.Since(0)
	}
	return a
}

// noticesSince returns the notices that are news after a version, to one that needs recalled
// ones or does not.
func (f *Feed) noticesSince(now time.Time, version uint64, recalled bool) []directory.Notice {
	notices := f.directory.Since(now, version)
	if recalled {
		return notices
	}
	return lo.Reject(notices, func(n directory.Notice, _ int) bool { return n.Recalled })
}

// encodeAll puts the notices into an answer as they were encoded for others, where the
// balancer asks for all and takes them so.
func (f *Feed) encodeAll(now time.Time, q Question, version uint64, a *Answer) bool {
	if version != 0 || !q.Encoded {
		return false
	}
	key := wholeKey{version: f.directory.Version(), recalled: q.Recalled}
	body, err := f.notices.get(now, key, func() any { return f.noticesSince(now, 0, q.Recalled) })
	if err != nil {
		return false
	}
	a.Encoded = body
	if q.Recalled && q.Self != nil {
		// Without it the balancer is told by its parent, some time later.
		a.Elsewhere, _ = f.elsewhere.body(now, q.Self.Zone)
	}
	return true
}

// Decoded returns the answer with its notices decoded. What the voter hears itself comes
// last, and goes before what others hear.
func (a Answer) Decoded() (Answer, error) {
	var elsewhere, own []directory.Notice
	if len(a.Elsewhere) > 0 {
		if err := cbor.Unmarshal(a.Elsewhere, &elsewhere); err != nil {
			return a, err
		}
	}
	if len(a.Encoded) > 0 {
		if err := cbor.Unmarshal(a.Encoded, &own); err != nil {
			return a, err
		}
	}
	a.Notices = slices.Concat(elsewhere, own, a.Notices)
	a.Elsewhere, a.Encoded = nil, nil
	return a, nil
}

func (f *Feed) answer(q Question) (Answer, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := q.Version
	if q.Life != f.life {
		version = 0
	}
	now := f.clock()
	a := Answer{
		Revision: f.history.Current().Revision, Life: f.life, Version: f.directory.Version(), Members: f.members,
		DoubtsVersion: f.doubtsVersion(), Zone: f.zone,
	}
	if q.Life != f.life || q.Doubts != a.DoubtsVersion {
		a.Doubts = f.confirmed(now)
	}
	f.tellFleet(now, q, &a)
	if q.From != "" {
		f.asked[q.From] = asked{at: now, passing: q.Passing}
	}
	if f.evacuations.Revision > q.Evacuations {
		e := f.evacuations
		a.Evacuations = &e
	}
	if q.Unconfigured {
		a.Configuration = f.smallConfiguration()
	}
	if !f.encodeAll(now, q, version, &a) {
		a.Notices = f.noticesSince(now, version, q.Recalled)
	}
	// What is still being gathered goes along with other news, and alone later.
	news := q.Life != f.life || a.Revision > q.Revision || a.Evacuations != nil || a.Version > version && !f.pending ||
		a.DoubtsVersion != q.Doubts && !f.doubts.Pending()
	return a, news, f.changed
}
