package owner

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wasabideal/internal/model/upstream"
)

// Voter is a reachable voter.
type Voter struct{ Address, Zone string }

// Of returns the address of the voter that owns an upstream, or "" if no voter is reachable. It
// uses rendezvous hashing: if a voter fails, only its upstreams move. All upstreams of one
// address have the same owner, so the owner detects that one upstream replaces another.
func Of(u upstream.Upstream, voters []Voter) string {
	candidates := lo.Filter(voters, func(v Voter, _ int) bool { return v.Zone == u.Zone })
	if len(candidates) == 0 {
		candidates = voters
	}
	key := strconv.FormatUint(u.Incarnation, 16)
	if u.Address.IsValid() {
		key = u.Address.String()
	}
	best, minHash := "", uint64(0)
	for _, v := range candidates {
		h := xxhash.Sum64String(v.Address + " " + key)
		if best == "" || h < minHash {
			best, minHash = v.Address, h
		}
	}
	return best
}
