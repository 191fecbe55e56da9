package choice

// Candidate is an upstream that may be selected for new flows.
type Candidate struct {
	// Target is the upstream's index in the loads given to Pick.
	Target uint32
	// Seed is the hash of the upstream's identity, for rendezvous hashing.
	Seed uint64
	// Zone is the upstream's availability zone.
	Zone string
	// Share is the weight of the upstream. It is 1, or less during the upstream's slow start.
	Share float64
}

// pair holds the indices of the candidates with the two highest scores, or -1.
type pair [2]int

// offer adds candidate i if its score is among the two highest. scores holds the scores of the
// pair.
func (p *pair) offer(i int, score uint64, scores *[2]uint64) {
	switch {
	case p[0] < 0 || score > scores[0]:
		p[1], scores[1] = p[0], scores[0]
		p[0], scores[0] = i, score
	case p[1] < 0 || score > scores[1]:
		p[1], scores[1] = i, score
	}
}

// lessLoaded returns the pool index of the candidate with the lower load per weight, or -1 if
// there is none.
func (p pair) lessLoaded(pool []Candidate, loads []int32) int {
	if p[0] < 0 || p[1] < 0 {
		return p[0]
	}
	if weightedLoad(&pool[p[1]], loads) < weightedLoad(&pool[p[0]], loads) {
		return p[1]
	}
	return p[0]
}

func weightedLoad(c *Candidate, loads []int32) float64 {
	return float64(loads[c.Target]) / c.Share
}
