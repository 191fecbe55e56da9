package voter

import "wasabideal/internal/control/agreement"

// Meet tells of voters' addresses that may be known to lead; a voter that is in
// no list asks them to take it in. Names are addresses there.
func (v *Voter) Meet(addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range addresses {
		v.agreement.Meet(agreement.Voter{Name: a, Address: a})
	}
}
