package router

import (
	"cmp"
	"slices"
	"time"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/upstream/view"
)

const (
	// shortBytes and shortDuration are the parts of the medians of its class below which an answer
	// is short: a rejection has no body and takes no work. A download's rejection is shorter still.
	shortBytes, shortDuration = 0.25, 0.5
	// minAnswers is how many answers of a class the medians need.
	minAnswers = 20
	// medianStep is the relative step of the estimated medians: a hundred answers change them by at
	// most a factor of 7, so that a burst of rejections does not become the rule within a second.
	medianStep = 0.02
	// learningAnswers is the number of answers from which the step is medianStep; it is larger before.
	learningAnswers = 1 / medianStep
	// answerQuiet is the time without a packet of the caller after which an answer has probably
	// ended. Callers close a flow sooner after its last answer.
	answerQuiet = 500 * time.Millisecond
	// answersInterval is the time between two reports of counts, and maxCounts is the number of
	// upstreams in one.
	answersInterval = 250 * time.Millisecond
	maxCounts       = 32
	// countsTTL is the age at which counts that did not fit into a report are dropped, as the voters
	// do with counts that they have received.
	countsTTL = 2 * time.Second
	// shortMemory is how long counts of a service are reported after its last short answer.
	shortMemory = 8 * time.Second
	// maxHalvings is the least weight that voters find, 1/16.
	maxHalvings = 4
	// reducedShare is the inverse of the share of a zone's slots that may be at reduced weight.
	reducedShare = 3
)

// answerCounts counts the answers of an upstream since its last report.
type answerCounts struct {
	total, short uint32
	// listed is set while the upstream is in serviceAnswers.counted, since the given time.
	listed bool
	since  time.Time
}

// serviceAnswers holds what is known of the answers of a service's upstreams.
type serviceAnswers struct {
	classes []*classAnswers
	// total and short count the answers since the last report.
	total, short uint32
	lastShort    time.Time
	// counted holds the upstreams with counts to report, in the order of their first one.
	counted []*target
}

// classAnswers holds the estimated medians of the answers to the requests of a class.
type classAnswers struct {
	class           configuration.Class
	answers         int
	bytes, duration float64
}

// record updates the medians and reports whether an answer is short compared with those before it.
func (c *classAnswers) record(bytes, duration float64) bool {
	short := c.isShort(bytes, duration)
	if c.answers == 0 {
		c.bytes, c.duration = bytes, duration
	}
	up, down := 1+medianStep, 1/(1+medianStep)
	if c.answers < learningAnswers {
		c.answers++
		up = 1 + 1/float64(c.answers)
		down = 1 / up
	}
	c.bytes = stepTowards(c.bytes, bytes, up, down)
	c.duration = stepTowards(c.duration, duration, up, down)
	return short
}

func (c *classAnswers) isShort(bytes, duration float64) bool {
	return c.answers >= minAnswers && bytes < shortBytes*c.bytes && duration < shortDuration*c.duration
}

// stepTowards moves an estimated median by a factor, whatever the distance to the value: one very long
// answer moves it no further than any other.
func stepTowards(median, value, up, down float64) float64 {
	switch {
	case value > median:
		return median * up
	case value < median:
		return median * down
	default:
		return median
	}
}

func (s *serviceAnswers) class(c configuration.Class) *classAnswers {
	for _, x := range s.classes {
		if x.class == c {
			return x
		}
	}
	x := &classAnswers{class: c}
	s.classes = append(s.classes, x)
	return x
}

// endAnswer counts the answer to a flow's last request. The answer may come in several packets, so
// that its size is known only once it has ended. complete is set if the caller shows that it got the
// whole answer, by its next request or by closing the flow at once. Otherwise the answer may be cut
// off, and is not counted if it is short. Uploads are not counted at all: an upstream may answer while
// further packets of the body arrive, which look like the next request.
func (r *Router) endAnswer(now time.Time, f *flow, complete bool) {
	bytes, took := float64(f.acknowledged-f.answerStart), f.answerDuration().Seconds()
	if !complete && f.answer.isShort(bytes, took) {
		return
	}
	short := f.answer.record(bytes, took)
	f.answer = nil
	f.target.service.answers.count(now, f.target, short)
	if short && r.settings.ShortAnswer != nil {
		r.settings.ShortAnswer()
	}
}

// answerDuration returns the time from the flow's last request to the latest acknowledgment.
func (f *flow) answerDuration() time.Duration { return time.Duration(f.answerTook) * time.Microsecond }

func (s *serviceAnswers) count(now time.Time, t *target, short bool) {
	if !t.answers.listed {
		t.answers.listed, t.answers.since = true, now
		s.counted = append(s.counted, t)
	}
	s.total++
	t.answers.total++
	if short {
		s.short++
		t.answers.short++
		s.lastShort = now
	}
}

// Answers returns the counts of answers to report to the voters, and none if the last ones are less
// than answersInterval old or no service has short answers. Of such a service the counts of all
// upstreams are reported: without the ordinary answers at other balancers, a voter could not tell one
// short answer of fifty from one of one. If there are more than maxCounts, those with short answers
// are first, then the oldest.
func (r *Router) Answers(now time.Time) []evidence.Answers {
	if !r.settings.MeasureAnswers || now.Sub(r.answersReported) < answersInterval {
		return nil
	}
	r.answersReported = now
	var out []evidence.Answers
	room := maxCounts
	for name, s := range r.services {
		p := r.pools[name]
		if s.answers.total == 0 && len(s.answers.counted) == 0 || p == nil {
			continue
		}
		if now.Sub(s.answers.lastShort) > shortMemory && !slices.ContainsFunc(s.answers.counted, (*target).reduced) {
			s.answers.drop(len(s.answers.counted))
			s.answers.total, s.answers.short = 0, 0
			continue
		}
		a := s.answers.take(now, p, room)
		a.Service = name
		for _, z := range a.Zones {
			room -= len(z.Counts)
		}
		out = append(out, a)
	}
	return out
}

// take returns and clears the counts of at most room upstreams.
func (s *serviceAnswers) take(now time.Time, p *pool, room int) evidence.Answers {
	a := evidence.Answers{Total: s.total, Short: s.short, Upstreams: uint32(len(p.local()) + len(p.remote()))}
	s.total, s.short = 0, 0
	slices.SortStableFunc(s.counted, func(x, y *target) int { return cmp.Compare(x.reportOrder(), y.reportOrder()) })
	n := min(len(s.counted), room)
	for _, t := range s.counted[:n] {
		if t.cookies.Active() == 0 {
			continue
		}
		i := slices.IndexFunc(a.Zones, func(z evidence.ZoneAnswers) bool { return z.Zone == t.Zone })
		if i < 0 {
			i = len(a.Zones)
			a.Zones = append(a.Zones, evidence.ZoneAnswers{Zone: t.Zone, Slots: uint32(p.slotsIn(t.Zone))})
		}
		a.Zones[i].Counts = append(a.Zones[i].Counts, evidence.Count{
			Cookie: t.cookies.Active(), Total: t.answers.total, Short: t.answers.short, Slots: uint32(max(t.Slots, 1)),
		})
	}
	s.drop(n)
	s.counted = slices.DeleteFunc(s.counted, func(t *target) bool {
		old := now.Sub(t.answers.since) > countsTTL
		if old {
			t.answers = answerCounts{}
		}
		return old
	})
	return a
}

// drop clears the counts of the first n upstreams.
func (s *serviceAnswers) drop(n int) {
	for _, t := range s.counted[:n] {
		t.answers = answerCounts{}
	}
	s.counted = slices.Delete(s.counted, 0, n)
}

// reportOrder is 0 for upstreams whose counts are reported first.
func (t *target) reportOrder() int {
	if t.answers.short > 0 || t.reduced() {
		return 0
	}
	return 1
}

// WeightChange is a change of an upstream's weight, which is 2 to the power of -Halvings.
type WeightChange struct {
	view.Target
	Before, Halvings uint8
	// Reduced is the voters' finding, its zero value if there is none any more.
	evidence.Reduced
}

// SetReduced sets the voters' findings on uneven upstreams, those with the highest likelihood ratio
// first, and returns the changes of weights. At most a third of a service's slots in each zone is at
// reduced weight, also if voters that know different parts of the fleet find more.
func (r *Router) SetReduced(all []evidence.Reduced) []WeightChange {
	var changes []WeightChange
	kept := make(map[*target]bool, len(all))
	used := map[*pool]map[string]int{}
	for _, x := range all {
		h := r.cookies.Lookup(x.Cookie)
		if h == nil || h.Value.position.pool == nil || kept[h.Value] || x.Halvings == 0 {
			continue
		}
		t := h.Value
		p := t.position.pool
		if used[p] == nil {
			used[p] = map[string]int{}
		}
		if reducedShare*(used[p][t.Zone]+t.position.slots) > p.slotsIn(t.Zone) {
			continue
		}
		used[p][t.Zone] += t.position.slots
		kept[t] = true
		if halvings := min(x.Halvings, maxHalvings); t.halvings != halvings {
			changes = append(changes, WeightChange{Target: t.Target, Before: t.halvings, Halvings: halvings, Reduced: x})
			// Balancers begin at different turns, so that their trials are spread over time.
			t.halvings, t.turns = halvings, r.rotation%(1<<halvings)
		}
	}
	for _, t := range r.reduced {
		if !kept[t] && t.halvings > 0 {
			changes = append(changes, WeightChange{Target: t.Target, Before: t.halvings})
			t.halvings = 0
		}
	}
	r.reduced = r.reduced[:0]
	for t := range kept {
		r.reduced = append(r.reduced, t)
	}
	return changes
}

// Reduced returns the number of upstreams at reduced weight.
func (r *Router) Reduced() int { return len(r.reduced) }

// reduced reports whether the upstream is at reduced weight.
func (t *target) reduced() bool { return t.halvings > 0 }

// weightFactor is the inverse of the upstream's weight.
func (t *target) weightFactor() float64 { return float64(uint(1) << t.halvings) }

// trial returns the upstream at the rotating start index if it is at reduced weight and due for one
// of the few new flows that it gets: as large a part of its share as its weight. Without any flow
// there would be no evidence of its recovery.
func (r *Router) trial(now time.Time, all []*target) *target {
	if len(r.reduced) == 0 || len(all) == 0 {
		return nil
	}
	t := all[r.rotation%len(all)]
	if !t.reduced() || r.rank(now, t) != rankHealthy || !r.mayPlaceAt(now, t) {
		return nil
	}
	if t.turns++; t.turns < 1<<t.halvings {
		return nil
	}
	t.turns = 0
	return t
}

// pastReduced extends the sample of a list, whose best candidate is at reduced weight, until a healthy
// upstream at full weight is found.
func (r *Router) pastReduced(now time.Time, all []*target, best candidate) candidate {
	start := r.rotation
	defer func() { r.rotation = start }()
	for scanned := scanCount(all); scanned < len(all); scanned += sampleSize {
		r.rotation = start + scanned
		if c := r.cheapest(now, all, min(sampleSize, len(all)-scanned), 0); c.betterThan(best) {
			best = c
		}
		if best.healthy() && !best.target.reduced() {
			break
		}
	}
	return best
}
