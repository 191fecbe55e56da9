package follower

import (
	"context"
	"time"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/wire/rpc"
)

// claimsInterval is the minimum time between two messages with claims to a source. The response to a poll
// reports within one round trip that the source has merged them.
const claimsInterval = 500 * time.Millisecond

// sendClaims sends the claims on shared cookies to the sources that report other claims.
func (f *Follower) sendClaims(now time.Time) {
	all := f.handler.Claims()
	digest := all.Digest()
	if digest == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, src := range f.polled {
		if (src.responsive || !src.isVoter) && src.claims != digest {
			src.reporter.enqueueClaims(now, all)
		}
	}
}

// applyClaims applies the claims in a source's response; digest identifies all claims of the source.
func (f *Follower) applyClaims(address string, all []claims.Claim, digest uint64) {
	if len(all) > 0 {
		f.handler.OnClaims(address, all)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if src := f.polled[address]; src != nil {
		src.claims = digest
	}
}

// claimsOf returns the digest of a source's claims as of its last response. The caller holds the lock.
func (f *Follower) claimsOf(address string) *uint64 {
	var digest uint64
	if src := f.polled[address]; src != nil {
		digest = src.claims
	}
	return &digest
}

// enqueueClaims adds claims to the next report unless some were added within claimsInterval.
func (r *reporter) enqueueClaims(now time.Time, all claims.Set) {
	r.mu.Lock()
	due := now.Sub(r.claimsEnqueued) >= claimsInterval
	if due {
		r.pendingClaims, r.claimsEnqueued = all, now
	}
	r.mu.Unlock()
	if due {
		r.notify()
	}
}

// sendClaims sends the pending claims. If that fails, they are enqueued again after claimsInterval.
func (r *reporter) sendClaims(ctx context.Context, client *rpc.Client) {
	r.mu.Lock()
	all := r.pendingClaims
	r.pendingClaims = claims.Set{}
	r.mu.Unlock()
	if all.Len() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := rpc.Call[[]claims.Claim, empty](ctx, client, feed.MergeClaimsMethod, all.All()); err != nil {
		r.log.Debug("failed to send claims on cookies", "Address", r.to, "Error", err)
	}
}
