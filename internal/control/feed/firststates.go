package feed

import "time"

// firstStates holds the encoded upstreams of this voter for starting balancers.
type firstStates struct {
	zoneBodies
	version uint64
	at      time.Time
	// responses and bytes count the responses and their size as sent, busy the polls that
	// got none in time.
	responses, bytes, busy int
}

const (
	// encodedTTL is how long an encoded response is reused. After a power loss of all VMs, all
	// balancers request the same data within milliseconds: 81 of them waited 90 ms for a voter on
	// half a core that encoded 220 upstreams and 70 routes for each. Ages in a reused response are
	// too low by up to encodedTTL.
	encodedTTL = 20 * time.Millisecond
	// encodedTTLPerNotice makes the reuse longer for many upstreams. Listing and encoding 10,000
	// upstreams takes 18 ms of a core; done four times a second, that is a seventh of half a core.
	encodedTTLPerNotice = 25 * time.Microsecond
)

// expired reports whether the upstreams are to be encoded again. The version alone does not decide, since
// each announcement changes it while restored upstreams announce themselves.
func (s *firstStates) expired(now time.Time) bool {
	return len(s.notices) == 0 || now.Sub(s.at) >= max(encodedTTL, time.Duration(len(s.notices))*encodedTTLPerNotice)
}

// firstState returns the encoded upstreams for a starting balancer of a zone, and the version of the
// directory that they hold.
func (f *Feed) firstState(now time.Time, zone string, restored bool) (*encodedBody, uint64, error) {
	s := &f.firstStates
	if s.expired(now) {
		s.zoneBodies, s.version, s.at = newZoneBodies(f.directory.Since(now, 0)), f.directory.Version(), now
	}
	body, err := s.get(zone, restored)
	return body, s.version, err
}

// FirstStates returns how many responses with all upstreams were made since the start, their size in
// bytes, and how many polls got none in time.
func (f *Feed) FirstStates() (responses, bytes, busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstStates.responses, f.firstStates.bytes, f.firstStates.busy
}
