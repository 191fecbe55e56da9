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

// Since answers a long poll: at once if there are updates, otherwise on the next update or after q.Hold.
func (f *Feed) Since(ctx context.Context, q Request) Response {
	hold := time.NewTimer(q.Hold)
	defer hold.Stop()
	for {
		a, hasUpdates, changed := f.respond(q)
		if hasUpdates {
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

// inlineConfiguration returns the encoded configuration, or nil if there is none or it exceeds
// maxInlineConfiguration. A starting balancer outside a tree polls several voters at once, and their
// copies of a large configuration would saturate a slow link. The balancer then fetches it separately.
func (f *Feed) inlineConfiguration() cbor.RawMessage {
	if f.history.Current().Revision == 0 {
		return nil
	}
	body, err := f.encodedSince(0)
	if err != nil || len(body) > maxInlineConfiguration {
		return nil
	}
	return body
}

// Configuration returns the deltas from a held revision to the newest, or the whole configuration.
func (f *Feed) Configuration(revision uint64) history.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since(revision)
}

func (f *Feed) since(revision uint64) history.Response {
	a := f.history.Since(revision)
	if len(a.Deltas) > maxDeltas {
		return f.history.Since(0)
	}
	return a
}

// noticesSince returns the notices that changed after a version. Restored ones are included
// only on request.
func (f *Feed) noticesSince(now time.Time, version uint64, restored bool) []directory.Notice {
	notices := f.directory.Since(now, version)
	if restored {
		return notices
	}
	return lo.Reject(notices, func(n directory.Notice, _ int) bool { return n.Recalled })
}

// attachEncodedNotices adds all notices to a response in encoded form, cached across balancers. It
// reports false if it adds none: the balancer requests only changes or does not accept encoded
// notices, or encoding failed.
func (f *Feed) attachEncodedNotices(now time.Time, q Request, version uint64, a *Response) bool {
	if version != 0 || !q.Encoded {
		return false
	}
	key := noticesKey{version: f.directory.Version(), restored: q.Recalled}
	body, err := f.notices.get(now, key, func() any { return f.noticesSince(now, 0, q.Recalled) })
	if err != nil {
		return false
	}
	a.Encoded = body
	if q.Recalled && q.Self != nil {
		// If this fails, the balancer gets these upstreams later from its parent.
		a.Elsewhere, _ = f.remoteUpstreams.body(now, q.Self.Zone)
	}
	return true
}

// Decoded returns the response with all notices decoded into Notices. The voter's own notices come
// last, so that they override those of other voters.
func (r Response) Decoded() (Response, error) {
	var remote, own []directory.Notice
	if len(r.Elsewhere) > 0 {
		if err := cbor.Unmarshal(r.Elsewhere, &remote); err != nil {
			return r, err
		}
	}
	if len(r.Encoded) > 0 {
		if err := cbor.Unmarshal(r.Encoded, &own); err != nil {
			return r, err
		}
	}
	r.Notices = slices.Concat(remote, own, r.Notices)
	r.Elsewhere, r.Encoded = nil, nil
	return r, nil
}

func (f *Feed) respond(q Request) (Response, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := q.Version
	if q.Life != f.life {
		version = 0
	}
	now := f.clock()
	a := Response{
		Revision: f.history.Current().Revision, Life: f.life, Version: f.directory.Version(), Members: f.voterAddresses,
		DoubtsVersion: f.suspicionsVersion(), Zone: f.zone,
	}
	if q.Life != f.life || q.Doubts != a.DoubtsVersion {
		a.Doubts = f.confirmedSuspicions(now)
	}
	f.attachFleet(now, q, &a)
	if q.From != "" {
		f.lastPoll[q.From] = lastPoll{at: now, relayHops: q.Passing}
	}
	if f.evacuations.Revision > q.Evacuations {
		e := f.evacuations
		a.Evacuations = &e
	}
	if q.Unconfigured {
		a.Configuration = f.inlineConfiguration()
	}
	if !f.attachEncodedNotices(now, q, version, &a) {
		a.Notices = f.noticesSince(now, version, q.Recalled)
	}
	// Batched changes of upstreams do not complete the poll yet, but are sent with other updates.
	hasUpdates := q.Life != f.life || a.Revision > q.Revision || a.Evacuations != nil || a.Version > version && !f.pending ||
		a.DoubtsVersion != q.Doubts && !f.suspicionsPacer.Pending()
	return a, hasUpdates, f.changed
}
