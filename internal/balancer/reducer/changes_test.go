package reducer_test

import (
	"slices"
	"time"

	"wasabideal/internal/core/event"
	"wasabideal/internal/model/upstream"
)

// leave performs a planned stop of a balancer; the fabric removes it afterwards.
func (f *fleet) leave(n *node) {
	f.reduce(n, event.Event{Kind: event.StopPlanned})
	var wait func()
	wait = func() {
		if !n.alive {
			return
		}
		if n.drained {
			f.reduce(n, event.Event{Kind: event.Stopped})
			n.alive = false
			return
		}
		f.after(tickEvery, wait)
	}
	wait()
}

func (f *fleet) drain(b *backend) {
	b.State = upstream.Draining
	f.announceOnce(b)
}

// firstReadyUpstream returns the ready upstream of the service "orders" with the lowest address.
func (f *fleet) firstReadyUpstream() *backend {
	var found *backend
	for _, b := range f.upstreams {
		if b.Service == "orders" && b.alive && b.State == upstream.Ready {
			if found == nil || b.Address.Compare(found.Address) < 0 {
				found = b
			}
		}
	}
	return found
}

// usePreset changes the preset. Three of every four balancers receive the new configuration directly,
// at different times within two seconds.
func (f *fleet) usePreset(preset string) {
	f.config = f.config.WithPreset(preset).WithRevision(f.config.Revision + 1)
	c := f.config
	for i, balancer := range f.order {
		n := f.nodes[balancer]
		if i%4 == 3 {
			// This balancer learns of the new revision only by gossip and then fetches it.
			continue
		}
		f.after(time.Duration(i)*200*time.Millisecond, func() {
			f.reduce(n, event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
		})
	}
}

// partition isolates a zone in both directions for d.
func (f *fleet) partition(zone string, d time.Duration) {
	f.cut = func(from, to string) bool {
		return slices.Contains(f.site.zones, from) && slices.Contains(f.site.zones, to) && (from == zone) != (to == zone)
	}
	f.partitionedUntil = f.now.Add(d + 4*time.Second)
	f.after(d, func() { f.cut = nil })
}

// setSpill sets SpillPercent at all balancers.
func (f *fleet) setSpill(percent int) {
	c := f.config.WithRevision(f.config.Revision + 1)
	c.Presets = slices.Clone(c.Presets)
	c.Presets[0].SpillPercent = percent
	f.config = c
	for _, n := range f.nodes {
		f.reduce(n, event.Event{Kind: event.ConfigurationReceived, Configuration: &c})
	}
}
