package feed

import (
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/upstream/directory"
)

const (
	// elsewhereFor is how long what other voters hear is used again. Encoded anew for each
	// balancer of 300 that started, 3,000 upstreams took half of the processors of all
	// voters, and a configuration was acknowledged after 7 s. A departure is told to all
	// voters, and what this one hears goes before it.
	elsewhereFor = time.Second
	// elsewhereMost is how many upstreams a balancer is told of that others hear. Of more it
	// is told those of its own zone, and of the rest by its parent: each takes 40 bytes of a
	// narrow link that it waits for.
	elsewhereMost = 500
)

// Elsewhere is what other voters hear.
type Elsewhere interface {
	// Live returns the upstreams that others hear.
	Live(now time.Time) []directory.Notice
	// Address returns where one of them is, if any has heard it.
	Address(now time.Time, incarnation, born uint64) (netip.AddrPort, bool)
}

// elsewhere is what other voters heard at a time, encoded by zone.
type elsewhere struct {
	source Elsewhere
	at     time.Time
	all    []directory.Notice
	bodies map[string]cbor.RawMessage
}

// SetElsewhere lets a balancer that has just started be told also of the upstreams that
// other voters hear, so that it needs to ask one voter only: where all 200 balancers started
// at once and asked three, they were ready after 265 ms in the middle, and 121 ms now.
func (f *Feed) SetElsewhere(e Elsewhere) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.elsewhere = elsewhere{source: e}
}

// body returns what a balancer of a zone is told, nothing where others hear nothing.
func (e *elsewhere) body(now time.Time, zone string) (cbor.RawMessage, error) {
	if e.source == nil {
		return nil, nil
	}
	if e.bodies == nil || now.Sub(e.at) >= elsewhereFor {
		e.at, e.all, e.bodies = now, e.source.Live(now), map[string]cbor.RawMessage{}
	}
	all := len(e.all) <= elsewhereMost
	if all {
		zone = ""
	}
	if body, encoded := e.bodies[zone]; encoded {
		return body, nil
	}
	told := e.all
	if !all {
		told = lo.Filter(told, func(n directory.Notice, _ int) bool { return n.Upstream.Zone == zone })
	}
	if len(told) == 0 {
		e.bodies[zone] = nil
		return nil, nil
	}
	body, err := cbor.Marshal(told)
	if err != nil {
		return nil, err
	}
	e.bodies[zone] = body
	return body, nil
}
