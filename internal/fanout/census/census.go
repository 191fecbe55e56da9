package census

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/fanout/member"
)

// keepFor is how long a balancer counts that no list names any more: balancers tell
// voters that restarted of their followers within some seconds.
const keepFor = 30 * time.Second

// List is the balancers that one source names, with the version by which it knows that
// list.
type List struct {
	Life, Version uint64
	Members       []member.Member
}

// Census is the lists of all sources.
type Census struct {
	lists map[string]List
	// missing are balancers that no list names, until when they count.
	missing map[member.Member]time.Time
	// expires is when the first of them counts no longer.
	expires time.Time
	drawn   []member.Member
	version uint64
}

// New returns a census without lists.
func New() *Census { return &Census{lists: map[string]List{}, missing: map[member.Member]time.Time{}} }

// Of returns the list that a source gave.
func (c *Census) Of(source string) List { return c.lists[source] }

// Take notes a source's list.
func (c *Census) Take(now time.Time, source string, l List) {
	c.miss(now, source)
	c.lists[source] = l
	c.draw(now)
}

// Drop forgets a source.
func (c *Census) Drop(now time.Time, source string) {
	if _, gave := c.lists[source]; !gave {
		return
	}
	c.miss(now, source)
	delete(c.lists, source)
	c.draw(now)
}

func (c *Census) miss(now time.Time, source string) {
	for _, m := range c.lists[source].Members {
		c.missing[m] = now.Add(keepFor)
	}
}

// Tick lets balancers go that no list names any more, and reports whether any did.
func (c *Census) Tick(now time.Time) bool {
	if len(c.missing) == 0 || now.Before(c.expires) {
		return false
	}
	before := c.version
	c.draw(now)
	return c.version != before
}

func (c *Census) draw(now time.Time) {
	byAddress := map[string]member.Member{}
	c.expires = now.Add(keepFor)
	for m, until := range c.missing {
		if !now.Before(until) {
			delete(c.missing, m)
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
	drawn := slices.SortedFunc(maps.Values(byAddress), func(a, b member.Member) int {
		return cmp.Compare(a.Address, b.Address)
	})
	if !slices.Equal(drawn, c.drawn) {
		c.drawn = drawn
		c.version++
	}
}

// Members returns all balancers that count, in the order of their addresses.
func (c *Census) Members() []member.Member { return c.drawn }

// Addresses returns their call addresses.
func (c *Census) Addresses() []string {
	return lo.Map(c.drawn, func(m member.Member, _ int) string { return m.Address })
}

// Version rises with each change of Members.
func (c *Census) Version() uint64 { return c.version }
