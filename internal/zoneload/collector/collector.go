package collector

import (
	"maps"
	"slices"
	"time"

	"wasabideal/internal/zoneload/report"
	"wasabideal/internal/zoneload/snapshot"
)

const (
	// Lifetime is how long a report counts after it was received. Senders report every 150 ms at
	// least, so four reports in a row may be lost.
	Lifetime = 800 * time.Millisecond
	// maxFigureAge is the age above which a report's oldest figure is ignored, and the report with
	// it. It exceeds Lifetime because a parent includes the last report of a follower that has
	// died for that long: with Lifetime here too, receivers would drop the reports of all
	// ancestors just before they omit that follower.
	maxFigureAge = snapshot.MaxAge
	// maxSenders bounds the memory that reports take. Reports of 32 services take about 10 kB.
	maxSenders = 1024
	// rememberedFor is how long the sequence of a sender is kept after its last report, so that a
	// late datagram does not revive the figures of a sender that has stopped.
	rememberedFor = 10 * time.Second
)

type entry struct {
	report   report.Report
	received time.Time
}

// age returns the age of the report's oldest figure.
func (e entry) age(now time.Time) time.Duration { return e.report.Age + e.held(now) }

func (e entry) held(now time.Time) time.Duration { return max(now.Sub(e.received), 0) }

func (e entry) expired(now time.Time) bool {
	return e.held(now) > Lifetime || e.age(now) > maxFigureAge
}

// Collector holds the latest report of each sender.
type Collector struct {
	entries map[string]entry
	dropped int
}

// New returns an empty collector.
func New() *Collector { return &Collector{entries: map[string]entry{}} }

// Add stores a report and reports whether it is used. It drops a report that is not newer than the
// last one of its sender, whose figures are too old, or whose sender exceeds the maximum number.
func (c *Collector) Add(now time.Time, r report.Report) bool {
	last, known := c.entries[r.Origin]
	// After a restart with a clock that was set back, the life is lower than the former one.
	if known = known && last.held(now) <= rememberedFor; known && !newer(r, last.report) || r.Age > maxFigureAge || !known && !c.reserve(now) {
		c.dropped++
		return false
	}
	c.entries[r.Origin] = entry{report: r, received: now}
	return true
}

// newer reports whether a report supersedes the last one of the same sender. A sender that restarts
// has a higher life and starts its sequence again.
func newer(r, last report.Report) bool {
	return r.Life > last.Life || r.Life == last.Life && r.Sequence > last.Sequence
}

// reserve reports whether there is space for another sender, and forgets old senders if necessary.
func (c *Collector) reserve(now time.Time) bool {
	if len(c.entries) < maxSenders {
		return true
	}
	maps.DeleteFunc(c.entries, func(_ string, e entry) bool { return e.held(now) > rememberedFor })
	return len(c.entries) < maxSenders
}

// Dropped returns the number of reports that Add has dropped.
func (c *Collector) Dropped() int { return c.dropped }

// current returns the reports that have not expired, with their ages increased by the time held,
// sorted by sender: the order affects the last digits of sums.
func (c *Collector) current(now time.Time) []report.Report {
	var reports []report.Report
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[name]; !e.expired(now) {
			r := e.report
			r.Age = e.age(now)
			reports = append(reports, r)
		}
	}
	return reports
}

// Sum returns a balancer's own report with the reports of its followers added. It ignores followers
// of another zone, whose load the own report cannot name, and a report of the balancer itself.
func (c *Collector) Sum(now time.Time, own report.Report) report.Report {
	sum := report.NewSum(own)
	for _, r := range c.current(now) {
		if r.Zone == own.Zone && r.Origin != own.Origin {
			sum.Add(r)
		}
	}
	return sum.Report()
}

// Zones returns the sums of the reports by zone, sorted by name. The caller sets Known.
func (c *Collector) Zones(now time.Time) []report.Zone {
	sums := map[string]*report.Sum{}
	for _, r := range c.current(now) {
		if sum := sums[r.Zone]; sum != nil {
			sum.Add(r)
		} else {
			sums[r.Zone] = report.NewSum(r)
		}
	}
	zones := make([]report.Zone, 0, len(sums))
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		r := sums[name].Report()
		zones = append(zones, report.Zone{
			Name: name, Age: r.Age, Balancers: r.Balancers, Link: r.Link, Partial: r.Partial, Services: r.Services,
		})
	}
	return zones
}
