package voter

import (
	"time"

	"wasabideal/internal/control/agreement"
)

const (
	// transferTimeout bounds the wait for another leader at a planned stop. A transfer takes
	// a few round trips and two syncs.
	transferTimeout      = 400 * time.Millisecond
	transferPollInterval = 10 * time.Millisecond
)

// TransferLeadership transfers leadership before a planned stop. It returns when another voter leads or
// after transferTimeout, and at once if this voter does not lead or has no follower to transfer to.
func (v *Voter) TransferLeadership() {
	v.mu.Lock()
	now := v.settings.Clock()
	effects := v.agreement.TransferLeadership(now)
	v.execute(effects)
	v.processEvents()
	v.mu.Unlock()
	if len(effects) == 0 {
		return
	}
	for end := now.Add(transferTimeout); v.settings.Clock().Before(end); time.Sleep(transferPollInterval) {
		if leader, self := v.leader(); leader != "" && !self {
			return
		}
	}
}

// AddJoinTargets adds the addresses of other voters to which join requests are sent while this voter
// has no vote. The address also serves as the target's name.
func (v *Voter) AddJoinTargets(addresses []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range addresses {
		v.agreement.AddJoinTarget(agreement.Voter{Name: a, Address: a})
	}
}
