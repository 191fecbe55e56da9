package claimer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/model/roster"
	"wasabideal/internal/request/keys"
)

// KeyStores accesses the key stores of the balancers.
type KeyStores interface {
	Claim(ctx context.Context, m roster.Member, epoch uint64, r keys.Record) (keys.Record, error)
	Release(ctx context.Context, m roster.Member, r keys.Record)
	Finish(ctx context.Context, m roster.Member, r keys.Record)
}

// Outcome is the outcome of a claim.
type Outcome uint8

// The outcomes of a claim.
const (
	// Granted means that this attempt, and no other, may send the request.
	Granted Outcome = iota
	// Taken means that another attempt holds the key; Result.Record is its record.
	Taken
	// Rejected means that no majority granted the claim; the request was not sent.
	Rejected
)

// Result is the outcome of a claim. Reason is set only for Rejected, and Record for the others.
type Result struct {
	Outcome Outcome
	Record  keys.Record
	Reason  string
}

// Claimer claims keys under the newest roster.
type Claimer struct {
	stores  KeyStores
	timeout time.Duration
	view    func() roster.View
}

// New returns a Claimer; timeout bounds each call to a member.
func New(s KeyStores, timeout time.Duration, view func() roster.View) *Claimer {
	return &Claimer{stores: s, timeout: timeout, view: view}
}

type vote struct {
	member roster.Member
	record keys.Record
	err    error
}

// Claim claims the key at all members that store the key. If the claim lacks a majority of a
// quorum set, the claims at all members are released. Two attempts cannot both be granted: two
// majorities of a quorum set share a member, which keeps the first attempt's record. Until a
// roster change is settled, a majority of the previous roster's quorum set is needed too.
func (c *Claimer) Claim(ctx context.Context, r keys.Record) Result {
	v := c.view()
	if len(v.Roster.Members) == 0 {
		return Result{Outcome: Rejected, Reason: "no roster of balancers is agreed yet"}
	}
	sets := v.QuorumSets(roster.Slot(r.Service, r.Key))
	votes := c.collectVotes(ctx, v.Roster.Epoch, sets, r)
	granted := lo.PickBy(votes, func(_ string, x vote) bool { return x.err == nil && x.record.Attempt == r.Attempt })
	if lo.EveryBy(sets, func(set []roster.Member) bool { return count(set, granted) >= roster.Majority(set) }) {
		return Result{Outcome: Granted, Record: r}
	}
	c.release(ctx, votes, r)
	return rejection(votes, r)
}

// count returns the number of members of a quorum set that granted the claim.
func count(set []roster.Member, granted map[string]vote) int {
	return lo.CountBy(set, func(m roster.Member) bool {
		x, ok := granted[m.Name]
		return ok && x.member.Start == m.Start
	})
}

// rejection returns the result of a claim that was not granted: Taken with the record of
// another attempt in the highest state, or Rejected with the reason.
func rejection(votes map[string]vote, r keys.Record) Result {
	result := Result{Outcome: Rejected, Reason: "no majority of the balancers that remember the key answered"}
	for _, x := range votes {
		if x.err != nil {
			result.Reason = fmt.Sprintf("no majority for the key: %v", x.err)
			continue
		}
		if x.record.Attempt != r.Attempt && x.record.State > result.Record.State {
			result.Record = x.record
		}
	}
	if result.Record.State > 0 {
		result.Outcome = Taken
	}
	return result
}

func (c *Claimer) collectVotes(ctx context.Context, epoch uint64, sets [][]roster.Member, r keys.Record) map[string]vote {
	members := lo.UniqBy(lo.Flatten(sets), func(m roster.Member) string { return m.Name })
	votes := make(chan vote, len(members))
	for _, m := range members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, c.timeout)
			defer cancel()
			record, err := c.stores.Claim(ctx, m, epoch, r)
			votes <- vote{member: m, record: record, err: err}
		}()
	}
	all := map[string]vote{}
	for range members {
		x := <-votes
		all[x.member.Name] = x
	}
	return all
}

// release releases the claims at all members, including those whose response was late or
// lost. An unreachable member keeps its record: repeated requests may be rejected because the
// key is still taken there, but no request runs twice.
func (c *Claimer) release(ctx context.Context, votes map[string]vote, r keys.Record) {
	c.forEach(ctx, lo.MapToSlice(votes, func(_ string, x vote) roster.Member { return x.member }), func(ctx context.Context, m roster.Member) {
		c.stores.Release(ctx, m, r)
	})
}

// Release releases a granted claim of a request that did not run.
func (c *Claimer) Release(ctx context.Context, r keys.Record) {
	c.forEach(ctx, c.members(r), func(ctx context.Context, m roster.Member) { c.stores.Release(ctx, m, r) })
}

// Finish stores the response at all members that store the key.
func (c *Claimer) Finish(ctx context.Context, r keys.Record) {
	c.forEach(ctx, c.members(r), func(ctx context.Context, m roster.Member) { c.stores.Finish(ctx, m, r) })
}

func (c *Claimer) members(r keys.Record) []roster.Member {
	return lo.UniqBy(lo.Flatten(c.view().QuorumSets(roster.Slot(r.Service, r.Key))), func(m roster.Member) string { return m.Name })
}

// forEach calls f for all members in parallel, even if ctx was cancelled by the caller.
func (c *Claimer) forEach(ctx context.Context, ms []roster.Member, f func(context.Context, roster.Member)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range ms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx, m)
		}()
	}
	wg.Wait()
}
