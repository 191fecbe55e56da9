package home

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"wasabideal/internal/model/upstream"
)

// Voter is a voter that answers.
type Voter struct{ Address, Zone string }

// Of returns the address of the voter that hears an upstream, empty where none answers.
// Where one stops answering, its upstreams alone move.
func Of(u upstream.Upstream, voters []Voter) string {
	near := lo.Filter(voters, func(v Voter, _ int) bool { return v.Zone == u.Zone })
	if len(near) == 0 {
		near = voters
	}
	best, least := "", uint64(0)
	for _, v := range near {
		h := xxhash.Sum64String(v.Address + " " + strconv.FormatUint(u.Incarnation, 16))
		if best == "" || h < least {
			best, least = v.Address, h
		}
	}
	return best
}
