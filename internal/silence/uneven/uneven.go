package uneven

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"wasabideal/internal/silence/evidence"
)

const (
	// minShare is the least share of short answers that is assumed of the other upstreams. margin is
	// how far the share of an uneven upstream lies above it. No upstream is found if the share of the
	// others exceeds maxShare, since most requests fail at any of them.
	minShare, maxShare = 0.02, 0.7
	margin             = 0.25
	// falsePositives and falseNegatives are the error rates of one test. An upstream tested every
	// second is then found wrongly once in a thousand seconds at most, and restored soon.
	falsePositives, falseNegatives = 0.001, 0.05
	// evidenceTTL is the age at which evidence is dropped. Callers retry within 2 s, so older
	// answers say little about what a retry meets.
	evidenceTTL = 2 * time.Second
	// recentEvidence is the age of evidence that suffices for the recovery of many upstreams at once:
	// with that of evidenceTTL, answers from before the end of a fault would delay it by 2 s.
	recentEvidence = time.Second
	// step is by how many halvings a detection reduces the weight, and MaxHalvings bounds them: the
	// weights are 1/4 and 1/16.
	step        = 2
	MaxHalvings = 2 * step
	// restoreInterval is the time between two doublings of a weight. Reports take 250 ms and
	// verdicts reach balancers within as much, so the effect of one doubling is known before the
	// next one.
	restoreInterval = time.Second
	// withoutEvidence is the time without a short answer after which a weight recovers. A sixteenth of
	// 12 requests a second is too little for the test to accept p0 within evidenceTTL. In 8 s it is six
	// answers, none of which is short at an upstream that still rejects 45 % with probability 0.03.
	withoutEvidence = 8 * time.Second
	// minOthers is how many answers of other upstreams a comparison needs: with fewer, one short
	// answer changes their share by more than 5 %.
	minOthers = 20
	// reducedShare is the share of a zone's slots that may be at reduced weight: the others then
	// carry at most one and a half times their load.
	reducedShare = 1.0 / 3
	// intervalPerUpstream, times the upstreams of a service with evidence, is the minimum time between
	// two evaluations of it, up to maxInterval. Evaluating an upstream takes 1 µs, which is 1 % of a
	// core for up to 10,000 upstreams.
	intervalPerUpstream = 100 * time.Microsecond
	maxInterval         = time.Second
	// maxReported bounds the verdicts, about 16 bytes each.
	maxReported = 128
)

var (
	// detectAt and acceptAt are the bounds of the sequential probability ratio test (Wald).
	detectAt = math.Log((1 - falseNegatives) / falsePositives)
	acceptAt = math.Log(falseNegatives / (1 - falsePositives))
)

// observation holds the counts of one report.
type observation struct {
	at           time.Time
	from         string
	total, short float64
}

// claim is the size of a service as one balancer knows it.
type claim struct {
	at        time.Time
	upstreams uint32
	slots     map[string]uint32
}

// upstream is the state of one instance of an upstream.
type upstream struct {
	cookie       uint32
	zone         string
	slots        float64
	observations []observation
	// testSince is when the test in progress began.
	testSince time.Time
	halvings  int
	lastShort time.Time
	// changed is when the weight last changed. recovering is set from the acceptance of p0 until
	// the next detection.
	changed    time.Time
	recovering bool
	verdict    evidence.Reduced
	// own is the sum of observations, and ratio the logarithm of the likelihood ratio of the test in
	// progress, as of the last evaluation.
	own   observation
	ratio float64
	// unbounded is the ratio with all that each balancer counted. It decides on acceptance: an
	// upstream at reduced weight has few short answers, each of which may be the only one of its
	// balancer and would not count.
	// recent is the same for the evidence of recentEvidence.
	unbounded, recent float64
}

type service struct {
	totals    []observation
	claims    map[string]claim
	upstreams map[uint32]*upstream
	evaluated time.Time
}

// Detector holds the evidence about upstreams by service, and their weights.
type Detector struct {
	services map[string]*service
	// batches holds the latest report of each balancer.
	batches map[string]batch
	version uint64
}

type batch struct {
	number uint64
	at     time.Time
}

// New returns a detector without evidence.
func New() *Detector { return &Detector{services: map[string]*service{}, batches: map[string]batch{}} }

// Version rises with each change of a weight.
func (d *Detector) Version() uint64 { return d.version }

// Record adds the counts of a report. A report that is not later than the latest one of the same
// balancer is ignored, so that no answer is counted twice.
func (d *Detector) Record(now time.Time, r evidence.Report) {
	last, known := d.batches[r.From]
	if len(r.Answers) == 0 || known && r.Batch <= last.number && now.Sub(last.at) < evidenceTTL {
		return
	}
	d.batches[r.From] = batch{number: r.Batch, at: now}
	for _, a := range r.Answers {
		d.service(a.Service).record(now, r.From, a)
	}
}

func (d *Detector) service(name string) *service {
	s := d.services[name]
	if s == nil {
		s = &service{claims: map[string]claim{}, upstreams: map[uint32]*upstream{}}
		d.services[name] = s
	}
	return s
}

func (s *service) record(now time.Time, from string, a evidence.Answers) {
	size := claim{at: now, upstreams: a.Upstreams, slots: make(map[string]uint32, len(a.Zones))}
	s.totals = append(s.totals, newObservation(now, from, a.Total, a.Short))
	for _, z := range a.Zones {
		size.slots[z.Zone] = z.Slots
		for _, c := range z.Counts {
			u := s.upstreams[c.Cookie]
			if u == nil {
				u = &upstream{cookie: c.Cookie, zone: z.Zone}
				s.upstreams[c.Cookie] = u
			}
			u.slots = max(float64(c.Slots), 1)
			if c.Short > 0 {
				u.lastShort = now
			}
			u.observations = append(u.observations, newObservation(now, from, c.Total, c.Short))
		}
	}
	// A report names only the zones that it has counts for.
	for zone, slots := range s.claims[from].slots {
		if _, named := size.slots[zone]; !named {
			size.slots[zone] = slots
		}
	}
	s.claims[from] = size
}

func newObservation(now time.Time, from string, total, short uint32) observation {
	return observation{at: now, from: from, total: float64(total), short: float64(min(short, total))}
}

// Evaluate drops old evidence and updates the weights.
func (d *Detector) Evaluate(now time.Time) {
	for from, b := range d.batches {
		if now.Sub(b.at) > evidenceTTL {
			delete(d.batches, from)
		}
	}
	for name, s := range d.services {
		if now.Sub(s.evaluated) < min(time.Duration(len(s.upstreams))*intervalPerUpstream, maxInterval) {
			continue
		}
		s.evaluated = now
		if s.evaluate(now) {
			d.version++
		}
		if len(s.upstreams) == 0 && len(s.totals) == 0 {
			delete(d.services, name)
		}
	}
}

// evaluate reports whether a weight changed.
func (s *service) evaluate(now time.Time) bool {
	s.expire(now)
	total := s.evenTotals()
	detected, group, recentGroup := 0, 0.0, 0.0
	for _, u := range s.upstreams {
		u.evaluate(total)
	}
	s.confirm()
	for _, u := range s.upstreams {
		if u.halvings > 0 {
			u.recent = u.evaluateAfter(now.Add(-recentEvidence), total)
			group += u.unbounded
			recentGroup += u.recent
		}
		if u.halvings > 0 && !u.recovering || u.ratio >= detectAt {
			detected++
		}
	}
	size := s.size()
	if 2*detected > int(size.upstreams) {
		// The load causes short answers at most of the upstreams, so that none is worse than the others.
		return s.restore(now, func(*upstream) bool { return true })
	}
	// While an upstream gets a sixteenth of its flows, its own answers take many seconds to accept p0.
	// The answers of all reduced upstreams together take a fraction of a second.
	groupAccepts := min(group, recentGroup) <= acceptAt
	restored := s.restore(now, func(u *upstream) bool {
		return u.unbounded <= acceptAt || groupAccepts && min(u.unbounded, u.recent) <= 0 || now.Sub(u.lastShort) >= withoutEvidence
	})
	reduced := s.reduce(now, size, total)
	for _, u := range s.upstreams {
		if u.unbounded <= acceptAt {
			u.testSince = now
		}
	}
	return reduced || restored
}

// expire drops evidence older than evidenceTTL, and upstreams at full weight without evidence.
func (s *service) expire(now time.Time) {
	old := func(o observation) bool { return now.Sub(o.at) > evidenceTTL }
	s.totals = slices.DeleteFunc(s.totals, old)
	maps.DeleteFunc(s.claims, func(_ string, c claim) bool { return now.Sub(c.at) > withoutEvidence })
	maps.DeleteFunc(s.upstreams, func(_ uint32, u *upstream) bool {
		u.observations = slices.DeleteFunc(u.observations, old)
		return u.halvings == 0 && len(u.observations) == 0
	})
}

// restore doubles the weights of the reduced upstreams that recover, and reports whether a weight
// changed.
func (s *service) restore(now time.Time, accepted func(*upstream) bool) bool {
	changed := false
	for _, u := range s.upstreams {
		if u.halvings == 0 || u.ratio >= detectAt && !accepted(u) {
			continue
		}
		u.recovering = u.recovering || accepted(u)
		// A step waits while the evidence since the last one leans to p1.
		if u.recovering && (min(u.unbounded, u.recent) <= 0 || accepted(u)) && now.Sub(u.changed) >= restoreInterval {
			u.halvings--
			u.verdict.Halvings = uint8(u.halvings)
			u.changed, u.testSince, changed = now, now, true
			u.recovering = u.halvings > 0
		}
	}
	return changed
}

// reduce reduces the weights of the upstreams that the test detects, in the order of their likelihood
// ratios, and reports whether a weight changed.
func (s *service) reduce(now time.Time, size claim, total observation) bool {
	var found []*upstream
	used := map[string]float64{}
	for _, u := range s.upstreams {
		if u.halvings > 0 {
			used[u.zone] += u.slots
		}
		if u.ratio >= detectAt && u.halvings < MaxHalvings {
			found = append(found, u)
		}
	}
	slices.SortFunc(found, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(b.ratio, a.ratio), cmp.Compare(a.cookie, b.cookie))
	})
	changed := false
	for _, u := range found {
		if u.halvings == 0 {
			if used[u.zone]+u.slots > reducedShare*float64(size.slots[u.zone]) {
				continue
			}
			used[u.zone] += u.slots
		}
		counted := u.counted()
		u.halvings = min(u.halvings+step, MaxHalvings)
		u.verdict = evidence.Reduced{
			Cookie: u.cookie, Halvings: uint8(u.halvings), Ratio: uint16(min(u.ratio, math.MaxUint16)),
			Total: uint32(counted.total), Short: uint32(counted.short), OthersPermille: uint16(1000 * u.othersShare(total)),
		}
		u.changed, u.testSince, u.recovering, changed = now, now, false, true
	}
	return changed
}

// counted returns the evidence of the test in progress.
func (u *upstream) counted() observation { return boundedSum(u.observations, u.testSince) }

// evenTotals returns the answers of the upstreams at full weight. Those found to be uneven say
// nothing about how the others answer.
func (s *service) evenTotals() observation {
	total := boundedTotals(s.totals, time.Time{})
	for _, u := range s.upstreams {
		u.own = boundedSum(u.observations, time.Time{})
		if u.halvings > 0 {
			total.total -= u.own.total
			total.short -= u.own.short
		}
	}
	return total
}

// others returns the part of evenTotals that is not this upstream's.
func (u *upstream) others(total observation) observation {
	if u.halvings == 0 {
		total.total -= u.own.total
		total.short -= u.own.short
	}
	return total
}

// othersShare returns the share of short answers of the other upstreams of the service.
func (u *upstream) othersShare(total observation) float64 {
	o := u.others(total)
	return max(o.short/max(o.total, 1), minShare)
}

// evaluate updates the likelihood ratios of the test in progress.
func (u *upstream) evaluate(total observation) {
	u.ratio, u.unbounded = 0, 0
	if u.others(total).total < minOthers {
		return
	}
	all, p0 := sum(u.observations, u.testSince), u.othersShare(total)
	u.unbounded = all.ratio(p0)
	u.ratio = u.unbounded
	if all.short > 0 {
		u.ratio = u.counted().ratio(p0)
	}
}

// evaluateAfter returns the unbounded ratio of the test in progress for evidence after a time.
func (u *upstream) evaluateAfter(after time.Time, total observation) float64 {
	if u.others(total).total < minOthers {
		return 0
	}
	if u.testSince.After(after) {
		after = u.testSince
	}
	return sum(u.observations, after).ratio(u.othersShare(total))
}

// confirm evaluates the candidates again, with the others counted only since the candidate's test
// began. When a burst begins, the answers of all upstreams become short, and the share of the others
// over a longer time is too low. Other candidates and reduced upstreams do not count as others.
func (s *service) confirm() {
	var apart, candidates []*upstream
	for _, u := range s.upstreams {
		if u.ratio >= detectAt {
			candidates = append(candidates, u)
		}
		if u.ratio >= detectAt || u.halvings > 0 {
			apart = append(apart, u)
		}
	}
	ratios := make([]float64, len(candidates))
	for i, u := range candidates {
		total := boundedTotals(s.totals, u.testSince)
		for _, x := range apart {
			c := boundedSum(x.observations, u.testSince)
			total.total -= c.total
			total.short -= c.short
		}
		ratios[i] = u.counted().ratio(max(total.short/max(total.total, 1), minShare))
	}
	for i, u := range candidates {
		u.ratio = min(u.ratio, ratios[i])
	}
}

// ratio returns the logarithm of the likelihood ratio of the observation for a share of the others.
func (c observation) ratio(p0 float64) float64 {
	if p0 > maxShare {
		return acceptAt
	}
	p1 := p0 + margin
	return c.short*math.Log(p1/p0) + (c.total-c.short)*math.Log((1-p1)/(1-p0))
}

// boundedSum returns the sum of the observations after a time. Short answers that one balancer
// reports count at most as much as those of all others, so that a balancer that counts wrongly
// reduces nothing alone.
func boundedSum(all []observation, after time.Time) observation {
	bounded := sum(all, after)
	if bounded.short == 0 {
		return bounded
	}
	byBalancer, most := map[string]float64{}, 0.0
	for _, o := range all {
		if o.at.After(after) {
			byBalancer[o.from] += o.short
			most = max(most, byBalancer[o.from])
		}
	}
	if excess := most - (bounded.short - most); excess > 0 {
		bounded.short -= excess
		bounded.total -= excess
	}
	return bounded
}

// sum returns the sum of the observations after a time.
func sum(all []observation, after time.Time) observation {
	var out observation
	for _, o := range all {
		if o.at.After(after) {
			out.total += o.total
			out.short += o.short
		}
	}
	return out
}

// boundedTotals returns the sum of the observations after a time, of which one balancer contributes
// at most half.
func boundedTotals(all []observation, after time.Time) observation {
	byBalancer := map[string]observation{}
	var sum, most observation
	for _, o := range all {
		if !o.at.After(after) {
			continue
		}
		b := byBalancer[o.from]
		b.total += o.total
		b.short += o.short
		byBalancer[o.from] = b
		sum.total += o.total
		sum.short += o.short
		if b.total > most.total {
			most = b
		}
	}
	if others := sum.total - most.total; most.total > others {
		excess := 1 - others/most.total
		sum.total -= excess * most.total
		sum.short -= excess * most.short
	}
	return sum
}

// size returns the medians of what the balancers know of the service's size, so that a balancer that
// counts wrongly does not lift the bounds.
func (s *service) size() claim {
	out := claim{slots: map[string]uint32{}}
	var upstreams []uint32
	slots := map[string][]uint32{}
	for _, c := range s.claims {
		upstreams = append(upstreams, c.upstreams)
		for zone, n := range c.slots {
			slots[zone] = append(slots[zone], n)
		}
	}
	out.upstreams = median(upstreams)
	for zone, all := range slots {
		out.slots[zone] = median(all)
	}
	return out
}

// median returns the lower median, 0 without values.
func median(all []uint32) uint32 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// Reduced returns the upstreams at reduced weight, at most maxReported, those with the highest
// likelihood ratio first.
func (d *Detector) Reduced() []evidence.Reduced {
	var out []evidence.Reduced
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.halvings > 0 {
				out = append(out, u.verdict)
			}
		}
	}
	slices.SortFunc(out, func(a, b evidence.Reduced) int {
		return cmp.Or(cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(a.Cookie, b.Cookie))
	})
	return out[:min(len(out), maxReported)]
}
