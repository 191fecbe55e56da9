package feed

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/wire/rpc"
)

// Since answers a long poll: at once if there are updates, otherwise on the next update, after
// req.Hold or when ctx is done.
func (f *Feed) Since(ctx context.Context, req Request) Response {
	hold := time.NewTimer(req.Hold)
	defer hold.Stop()
	for {
		resp, hasUpdates, changed := f.respond(req)
		if hasUpdates {
			return resp
		}
		select {
		case <-changed:
		case <-hold.C:
			return resp
		case <-ctx.Done():
			return resp
		}
	}
}

func (f *Feed) encodedConfiguration(revision uint64) (cbor.RawMessage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.encodedConfigurationSince(revision)
}

func (f *Feed) encodedConfigurationSince(revision uint64) (cbor.RawMessage, error) {
	key := configurationKey{held: revision, current: f.history.Current().Revision}
	return f.configuration.get(f.clock(), key, func() any { return f.configurationSince(revision) })
}

// inlineConfiguration returns the encoded configuration, or nil if there is none or it exceeds
// maxInlineConfiguration. A starting balancer outside a tree polls several voters at once, and their
// copies of a large configuration would saturate a slow link. The balancer then fetches the
// configuration separately.
func (f *Feed) inlineConfiguration() cbor.RawMessage {
	if f.history.Current().Revision == 0 {
		return nil
	}
	body, err := f.encodedConfigurationSince(0)
	if err != nil || len(body) > maxInlineConfiguration {
		return nil
	}
	return body
}

// Configuration returns the deltas from a held revision to the newest, or the whole configuration.
func (f *Feed) Configuration(revision uint64) history.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configurationSince(revision)
}

func (f *Feed) configurationSince(revision uint64) history.Response {
	a := f.history.Since(revision)
	if len(a.Deltas) > maxDeltas {
		return f.history.Since(0)
	}
	return a
}

// noticesSince returns the notices that changed after a version. Notices of restored upstreams
// (encoded as Recalled) are included only if restored is set.
func (f *Feed) noticesSince(now time.Time, version uint64, restored bool) []directory.Notice {
	notices := f.directory.Since(now, version)
	if restored {
		return notices
	}
	return withoutRestored(notices)
}

func withoutRestored(notices []directory.Notice) []directory.Notice {
	return lo.Reject(notices, func(n directory.Notice, _ int) bool { return n.Recalled })
}

// attachEncodedNotices adds all notices to a response in encoded form, cached across balancers, and
// reports whether it did. The response then has the version at which they were encoded; later changes
// follow with the next poll. It adds no notices if the balancer requests only changes or does not
// accept encoded notices, or if encoding fails.
func (f *Feed) attachEncodedNotices(now time.Time, req Request, version uint64, resp *Response) bool {
	if version != 0 || !req.Encoded {
		return false
	}
	zone := ""
	if req.Self != nil {
		zone = req.Self.Zone
	}
	own, encodedVersion, err := f.firstState(now, zone, req.Recalled)
	if err != nil {
		return false
	}
	resp.Version = encodedVersion
	bodies := []*encodedBody{own}
	if req.Recalled && req.Self != nil {
		// If encoding fails, the balancer receives the other voters' upstreams later from its parent.
		if remote, err := f.remoteUpstreams.body(now, zone); err == nil && remote != nil {
			bodies = []*encodedBody{remote, own}
		}
	}
	f.firstStates.responses++
	f.firstStates.bytes += resp.setBodies(bodies, req.AcceptsPacked)
	return true
}

// setBodies sets the encoded notices, those of other voters first, and returns their size.
func (r *Response) setBodies(bodies []*encodedBody, packed bool) int {
	if packed {
		r.Packed = lo.Map(bodies, func(b *encodedBody, _ int) []byte { return b.compressed() })
		return lo.SumBy(r.Packed, func(b []byte) int { return len(b) })
	}
	r.Encoded = bodies[len(bodies)-1].raw
	if len(bodies) > 1 {
		r.Elsewhere = bodies[0].raw
	}
	return len(r.Encoded) + len(r.Elsewhere)
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
	packed, err := unpack(r.Packed)
	if err != nil {
		return r, err
	}
	r.Notices = slices.Concat(packed, remote, own, r.Notices)
	r.Elsewhere, r.Encoded, r.Packed = nil, nil, nil
	return r, nil
}

// unpack decodes notices in S2 block format.
func unpack(packed [][]byte) ([]directory.Notice, error) {
	var out []directory.Notice
	for _, b := range packed {
		raw, err := rpc.Decompress(b)
		if err != nil {
			return nil, &PackedError{Cause: err}
		}
		var notices []directory.Notice
		if err := cbor.Unmarshal(raw, &notices); err != nil {
			return nil, err
		}
		out = append(out, notices...)
	}
	return out, nil
}

// PackedError reports compressed notices that are damaged or too large.
type PackedError struct{ Cause error }

func (e *PackedError) Error() string { return fmt.Sprintf("decompress notices: %v", e.Cause) }

// Unwrap returns the underlying error.
func (e *PackedError) Unwrap() error { return e.Cause }

// respond returns the response to a poll, whether the response holds updates, and a channel that is
// closed at the next update.
func (f *Feed) respond(req Request) (Response, bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	version := req.Version
	if req.Life != f.life {
		version = 0
	}
	now := f.clock()
	resp := Response{
		Revision: f.history.Current().Revision, Life: f.life, Version: f.directory.Version(), Members: f.voterAddresses,
		DoubtsVersion: f.suspicionsVersion(), Zone: f.zone,
	}
	if req.Life != f.life || req.Doubts != resp.DoubtsVersion {
		resp.Doubts = f.confirmedSuspicions(now)
	}
	f.attachFleet(now, req, &resp)
	otherVerdicts, otherClaims := f.attachUneven(req, &resp), f.attachClaims(req, &resp)
	if req.From != "" {
		f.lastPoll[req.From] = lastPoll{at: now, relayHops: req.Passing}
	}
	if f.evacuations.Revision > req.Evacuations {
		e := f.evacuations
		resp.Evacuations = &e
	}
	if req.Unconfigured {
		resp.Configuration = f.inlineConfiguration()
	}
	if !f.attachEncodedNotices(now, req, version, &resp) {
		resp.Notices = f.noticesSince(now, version, req.Recalled)
	}
	if req.Starting {
		f.attachRecent(now, &resp)
	}
	// Batched changes of upstreams do not complete the poll yet, but are sent with other updates.
	hasUpdates := req.Life != f.life || resp.Revision > req.Revision || resp.Evacuations != nil || otherClaims || resp.Version > version && !f.pending ||
		(resp.DoubtsVersion != req.Doubts || otherVerdicts) && !f.suspicionsPacer.Pending()
	return resp, hasUpdates, f.changed
}
