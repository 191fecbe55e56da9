package voter

import (
	"time"

	"wasabideal/internal/control/agreement"
)

const (
	// handOverWait bounds the wait for another leader at a planned stop: some
	// round trips and two syncs.
	handOverWait = 400 * time.Millisecond
	handOverPoll = 10 * time.Millisecond
)

// HandOver gives leadership up before a planned stop, and returns when another
// voter leads, or after a while.
func (v *Voter) HandOver() {
	v.mu.Lock()
	now := v.settings.Clock()
	effects := v.agreement.HandOver(now)
	v.carryOut(effects)
	v.drain()
	v.mu.Unlock()
	if len(effects) == 0 {
		return
	}
	for end := now.Add(handOverWait); v.settings.Clock().Before(end); time.Sleep(handOverPoll) {
		if leader, self := v.leader(); leader != "" && !self {
			return
		}
	}
}

// Meet tells of voters' addresses that may be known to lead; a voter that is in
// no list asks them to take it in. Names are addresses there.
func (v *Voter) Meet(addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range addresses {
		v.agreement.Meet(agreement.Voter{Name: a, Address: a})
	}
}
