package cookie

import (
	"fmt"
	"strconv"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/upstream/view"
)

// maxCookieLines limits the log lines per second on shared cookies.
const maxCookieLines = 10

// Claims returns the known claims on shared cookies.
func (b *Balancer) Claims() claims.Set {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.router.Claims()
}

// OnClaims adds claims of other processes on shared cookies.
func (b *Balancer) OnClaims(_ string, all []claims.Claim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.MergeClaims(claims.Set{}.With(all...))
	b.notifyClaims()
	b.placeBuffered(b.settings.Clock(), b.unplaced)
}

// OnRecent receives the upstreams that a source has known for a short time only.
func (b *Balancer) OnRecent(all recent.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.router.SetRecent(all.Has)
}

// notifyClaims completes the followers' long polls if the claims have changed. The caller holds the lock.
func (b *Balancer) notifyClaims() {
	digest := b.router.Claims().Digest()
	if digest == b.claimsNotified {
		return
	}
	b.claimsNotified = digest
	if b.fanout != nil {
		b.fanout.relay.NotifyNow()
	}
}

// recordSharedCookie logs the state of a cookie that several upstreams have.
func (b *Balancer) recordSharedCookie(x router.SharedCookie) {
	suppressed, ok := b.cookieLog.Allow(b.settings.Clock())
	if !ok {
		return
	}
	holder := ""
	if x.Holder != nil {
		holder = strconv.FormatUint(x.Holder.Incarnation, 16)
	}
	b.log.Warn("upstreams share a cookie", "Cookie", fmt.Sprintf("%08x", x.Cookie), "Holder", holder,
		"Upstreams", lo.Map(x.Candidates, func(t view.Target, _ int) string { return fmt.Sprintf("%x of %s", t.Incarnation, t.Service) }),
		"Claims", lo.Map(x.Claims, func(c claims.Claim, _ int) string { return strconv.FormatUint(c.Incarnation, 16) }),
		"MoreBefore", suppressed)
}
