package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/member"
)

// retention is how long a balancer is kept after it disappeared from all lists. Balancers report
// their followers to restarted voters within seconds.
const retention = 30 * time.Second

// List holds the balancers known to one source, a voter or balancer. Life identifies the run of
// the source's process, and Version the list within that run.
type List struct {
	Life, Version uint64
	Members       []member.Member
}

// Membership holds the lists of all sources and the balancers merged from them.
type Membership struct {
	lists map[string]List
	// retained maps balancers of replaced or dropped lists to the time until which they are kept.
	retained map[member.Member]time.Time
	// expires is the earliest time in retained.
	expires time.Time
	merged  []member.Member
	version uint64
}

// New returns an empty membership.
func New() *Membership {
	return &Membership{lists: map[string]List{}, retained: map[member.Member]time.Time{}}
}

// List returns the list of a source.
func (c *Membership) List(source string) List { return c.lists[source] }

// SetList replaces the list of a source.
func (c *Membership) SetList(now time.Time, source string, l List) {
	c.retain(now, source)
	c.lists[source] = l
	c.merge(now)
}

// RemoveSource removes a source. Its balancers are kept for the retention time.
func (c *Membership) RemoveSource(now time.Time, source string) {
	if _, known := c.lists[source]; !known {
		return
	}
	c.retain(now, source)
	delete(c.lists, source)
	c.merge(now)
}

func (c *Membership) retain(now time.Time, source string) {
	for _, m := range c.lists[source].Members {
		c.retained[m] = now.Add(retention)
	}
}

// Tick removes balancers whose retention has ended, and reports whether Members changed.
func (c *Membership) Tick(now time.Time) bool {
	if len(c.retained) == 0 || now.Before(c.expires) {
		return false
	}
	before := c.version
	c.merge(now)
	return c.version != before
}

func (c *Membership) merge(now time.Time) {
	byAddress := map[string]member.Member{}
	c.expires = now.Add(retention)
	for m, until := range c.retained {
		if !now.Before(until) {
			delete(c.retained, m)
			continue
		}
		byAddress[m.Address] = m
		if until.Before(c.expires) {
			c.expires = until
		}
	}
	for _, l := range c.lists {
		for _, m := range l.Members {
			byAddress[m.Address] = m
		}
	}
	merged := slices.SortedFunc(maps.Values(byAddress), func(a, b member.Member) int {
		return cmp.Compare(a.Address, b.Address)
	})
	if !slices.Equal(merged, c.merged) {
		c.merged = merged
		c.version++
	}
}

// Members returns all listed or retained balancers, sorted by address.
func (c *Membership) Members() []member.Member { return c.merged }

// Addresses returns the RPC addresses of Members.
func (c *Membership) Addresses() []string {
	return lo.Map(c.merged, func(m member.Member, _ int) string { return m.Address })
}

// Version rises with each change of Members.
func (c *Membership) Version() uint64 { return c.version }
