package feed

import (
	"context"
	"time"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/wire/rpc"
)

// MergeClaimsMethod is the RPC by which balancers and voters send claims on shared cookies that the receiver
// lacks. Balancers that others follow serve it, too.
const MergeClaimsMethod = "Feed.MergeClaims"

func (f *Feed) serveClaims(r *rpc.Server, token string) {
	rpc.Handle(r, MergeClaimsMethod, token, func(_ context.Context, all []claims.Claim) (empty, error) {
		f.MergeClaims(all)
		return empty{}, nil
	})
}

// MergeClaims adds claims on shared cookies and sends them to balancers if they are new.
func (f *Feed) MergeClaims(all []claims.Claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.claims.Digest()
	f.claims = f.claims.With(all...)
	if f.claims.Digest() != before {
		f.wake()
	}
}

// Claims returns the claims on shared cookies.
func (f *Feed) Claims() claims.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claims
}

// attachClaims adds the claims to a response, and reports whether the balancer holds others.
func (f *Feed) attachClaims(req Request, resp *Response) bool {
	if req.Claims == nil {
		return false
	}
	resp.ClaimsDigest = f.claims.Digest()
	if resp.ClaimsDigest == *req.Claims {
		return false
	}
	resp.Claims = f.claims.All()
	return true
}

// attachRecent adds the upstreams that became known a short time ago to a response with notices.
func (f *Feed) attachRecent(now time.Time, resp *Response) {
	if len(resp.Notices)+len(resp.Encoded)+len(resp.Packed) == 0 {
		return
	}
	all := f.directory.Recent(now)
	if f.remoteUpstreams.source != nil {
		all = all.With(f.remoteUpstreams.source.Recent(now))
	}
	if !all.Empty() {
		resp.Recent = &all
	}
}

// MarkEstablished records that the upstreams known so far have been known for long: they were restored from
// the state that this voter saved before its restart.
func (f *Feed) MarkEstablished() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.MarkEstablished()
}
