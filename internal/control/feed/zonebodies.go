package feed

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/samber/lo"

	"wasabideal/internal/upstream/directory"
)

const (
	// maxRemoteUpstreams is the number of upstreams of other voters up to which a voter sends all of
	// them to a starting balancer. If there are more, it sends those of the balancer's zone and a few
	// of each service that has too few there, and the parent sends the rest: each takes 40 bytes on a
	// possibly slow link.
	maxRemoteUpstreams = 500
	// minPerService is the number of upstreams of each service up to which a starting balancer
	// receives those of other zones.
	minPerService = 64
)

// zoneBodies holds notices encoded for the balancers of each zone.
type zoneBodies struct {
	notices []directory.Notice
	// restored is the number of notices on restored upstreams.
	restored int
	bodies   map[bodyKey]*encodedBody
}

// encodedBody holds encoded notices, and the same in S2 block format once a balancer has requested it.
type encodedBody struct {
	raw    cbor.RawMessage
	packed []byte
}

// compressed returns the notices in S2 block format.
func (b *encodedBody) compressed() []byte {
	if b.packed == nil {
		b.packed = s2.Encode(nil, b.raw)
	}
	return b.packed
}

// bodyKey identifies one encoding. The zone is empty if all notices are included.
type bodyKey struct {
	zone     string
	restored bool
}

func newZoneBodies(notices []directory.Notice) zoneBodies {
	restored := lo.CountBy(notices, func(n directory.Notice) bool { return n.Recalled })
	return zoneBodies{notices: notices, restored: restored, bodies: map[bodyKey]*encodedBody{}}
}

// get returns the notices for a balancer of a zone, encoded once per zone. Those of restored upstreams
// are included only if restored is set, and limited to what the zone needs. An empty zone stands for
// all zones.
func (z *zoneBodies) get(zone string, restored bool) (*encodedBody, error) {
	if !restored || z.restored <= maxRemoteUpstreams {
		zone = ""
	}
	key := bodyKey{zone: zone, restored: restored}
	if body, encoded := z.bodies[key]; encoded {
		return body, nil
	}
	selected := z.notices
	if !restored {
		selected = withoutRestored(selected)
	} else if zone != "" {
		selected = selectForZone(selected, zone)
	}
	raw, err := cbor.Marshal(selected)
	if err != nil {
		return nil, err
	}
	body := &encodedBody{raw: raw}
	z.bodies[key] = body
	return body, nil
}

// selectForZone returns the notices without those of restored upstreams of other zones, except for up to
// minPerService upstreams of each service with fewer in the zone.
func selectForZone(notices []directory.Notice, zone string) []directory.Notice {
	out := make([]directory.Notice, 0, len(notices)/2)
	held, remote := map[string]int{}, map[string][]directory.Notice{}
	for _, n := range notices {
		service := n.Upstream.Service
		if !n.Recalled || n.Upstream.Zone == zone {
			out = append(out, n)
			held[service]++
		} else {
			remote[service] = append(remote[service], n)
		}
	}
	for service, candidates := range remote {
		if missing := minPerService - held[service]; missing > 0 {
			out = append(out, spread(candidates, missing, xxhash.Sum64String(zone))...)
		}
	}
	return out
}

// spread returns up to limit evenly spaced notices. The offset differs by seed, so that not all zones
// place their flows on the same upstreams.
func spread(notices []directory.Notice, limit int, seed uint64) []directory.Notice {
	if len(notices) <= limit {
		return notices
	}
	step := len(notices) / limit
	offset := int(seed % uint64(step))
	return lo.Times(limit, func(i int) directory.Notice { return notices[offset+i*step] })
}
