package view_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/suspicions"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/view"
)

// fleet is one balancer of a large fleet, with its view of many voters and its router.
type fleet struct {
	view    *view.View
	router  *router.Router
	voters  int
	version uint64
}

func fleetNotice(id int, sequence uint64) directory.Notice {
	return directory.Notice{Upstream: upstream.Upstream{
		Identity: upstream.Identity{
			Service: []string{"orders", "notes"}[id%5/4], Incarnation: uint64(id) + 1,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(id >> 16), byte(id >> 8), byte(id)}), 80),
		},
		Zone: fmt.Sprintf("z%d", id%5), Slots: 2, Sequence: sequence,
	}}
}

func newFleet(upstreams, voters int) *fleet {
	f := &fleet{view: newView(), router: router.New(router.Settings{Zone: "z0"}), voters: voters}
	for v := range voters {
		var all []directory.Notice
		for id := v; id < upstreams; id += voters {
			all = append(all, fleetNotice(id, 1))
		}
		f.apply(epoch, v, all...)
	}
	f.refresh(epoch)
	return f
}

func (f *fleet) apply(now time.Time, voter int, notices ...directory.Notice) {
	f.version++
	f.view.Apply(now, view.Update{Voter: fmt.Sprintf("v%d", voter), Life: 1, Version: f.version, Contact: now, Notices: notices})
}

func (f *fleet) refresh(now time.Time) {
	if c, changed := f.view.Changes(now); changed {
		f.router.Update(now, c)
	}
}

// contact records contact with all voters but the first.
func (f *fleet) contact(now time.Time) {
	for v := 1; v < f.voters; v++ {
		f.apply(now, v)
	}
}

// BenchmarkFleetNotice measures the update of one upstream at one balancer.
func BenchmarkFleetNotice(b *testing.B) {
	for _, n := range []int{150, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 25)
			for i := range b.N {
				x := fleetNotice(i%n, uint64(i)+2)
				x.Upstream.State = upstream.State(i / n % 2)
				f.apply(epoch, i%n%25, x)
				f.refresh(epoch)
			}
		})
	}
}

// BenchmarkFleetContact measures a voter that becomes unreachable for a short time.
func BenchmarkFleetContact(b *testing.B) {
	for _, n := range []int{150, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 25)
			now := epoch
			for range b.N {
				now = now.Add(4 * time.Second)
				f.contact(now)
				f.refresh(now)
				f.apply(now, 0)
				f.refresh(now)
			}
		})
	}
}

// BenchmarkFleetSuspicion measures the suspicion of one upstream.
func BenchmarkFleetSuspicion(b *testing.B) {
	for _, n := range []int{150, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n, 25)
			all := map[evidence.Subject]suspicions.Suspicion{{Incarnation: 7}: {First: epoch}}
			for range b.N {
				f.router.SetSuspicions(epoch, all)
			}
		})
	}
}
