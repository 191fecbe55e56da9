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
	// leaveTimeout bounds the wait until the list no longer contains this voter. A learner takes
	// over in a few round trips and syncs.
	leaveTimeout  = time.Second
	leaveInterval = 30 * time.Millisecond
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

// Leave takes this voter out of the list before a planned stop, so that a VM that is removed does
// not count towards the majority. It returns when the leader has answered or after leaveTimeout,
// and at once if no other voter leads.
func (v *Voter) Leave() {
	now := v.settings.Clock()
	state := agreement.Staying
	for end := now.Add(leaveTimeout); state == agreement.Staying && v.settings.Clock().Before(end); time.Sleep(leaveInterval) {
		if leader, self := v.leader(); leader == "" || self {
			break
		}
		v.mu.Lock()
		v.execute(v.agreement.RequestLeave())
		v.processEvents()
		state = v.agreement.Leaving()
		v.mu.Unlock()
	}
	v.log.Info("leaving the list of voters", "Left", state == agreement.Left, "Answered", state != agreement.Staying,
		"Waited", v.settings.Clock().Sub(now).String())
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
