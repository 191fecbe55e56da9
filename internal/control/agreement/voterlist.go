package agreement

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
)

// voterList is the list of voters in force. While two lists are in force at once (joint
// consensus), an election and a commit need a majority of each.
type voterList struct {
	_ struct{} `cbor:",toarray"`
	// Next is the only list, or the one that replaces Previous.
	Next []Voter
	// Previous is empty unless two lists are in force.
	Previous []Voter
}

// joint reports whether two lists are in force.
func (l voterList) joint() bool { return len(l.Previous) > 0 }

// all returns the entries of both lists. A voter of either list is returned as a voter.
func (l voterList) all() []Voter {
	vs := slices.Clone(l.Next)
	for _, p := range l.Previous {
		i := slices.IndexFunc(vs, func(v Voter) bool { return v.Id == p.Id })
		switch {
		case i < 0:
			vs = append(vs, p)
		case !p.Learner:
			vs[i] = p
		}
	}
	return vs
}

// votingLists returns the ids of the voters in each list in force, without learners.
func (l voterList) votingLists() [][]string {
	lists := [][]string{votingIds(l.Next)}
	if l.joint() {
		lists = append(lists, votingIds(l.Previous))
	}
	return lists
}

func votingIds(vs []Voter) []string {
	return lo.FilterMap(vs, func(v Voter, _ int) (string, bool) { return v.Id, !v.Learner })
}

// outgoing reports whether a voter of the previous list has no vote in the next one.
func (l voterList) outgoing(id string) bool {
	return l.joint() && slices.Contains(votingIds(l.Previous), id) && !slices.Contains(votingIds(l.Next), id)
}

// hasQuorum reports whether the voters for which the function returns true are a majority of
// each list in force.
func (l voterList) hasQuorum(granted func(id string) bool) bool {
	return lo.EveryBy(l.votingLists(), func(ids []string) bool { return lo.CountBy(ids, granted) >= majorityOf(len(ids)) })
}

// majorityOf returns the number of voters that are a majority of n.
func majorityOf(n int) int { return n/2 + 1 }

// quorumIndex returns the highest index that a majority of each list in force has reached.
func (l voterList) quorumIndex(indexOf func(id string) uint64) uint64 {
	return quorumValue(l, indexOf, cmp.Compare[uint64])
}

// quorumValue returns the greatest value that a majority of each list in force has reached.
func quorumValue[T any](l voterList, valueOf func(id string) T, compare func(x, y T) int) T {
	reached := lo.FilterMap(l.votingLists(), func(ids []string, _ int) (T, bool) {
		values := lo.Map(ids, func(id string, _ int) T { return valueOf(id) })
		slices.SortFunc(values, compare)
		if len(values) == 0 {
			var none T
			return none, false
		}
		return values[(len(values)-1)/2], true
	})
	if len(reached) == 0 {
		var none T
		return none
	}
	return slices.MinFunc(reached, compare)
}

// decodeVoters returns the list of voters of an entry, and false if the entry holds none.
func decodeVoters(e Entry) (voterList, bool) {
	var l voterList
	switch e.Kind {
	case Voters:
		return l, cbor.Unmarshal(e.Data, &l.Next) == nil
	case JointVoters:
		return l, cbor.Unmarshal(e.Data, &l) == nil
	case Command, NoOp:
	}
	return l, false
}
