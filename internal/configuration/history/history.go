package history

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/roster"
)

// Delta is the change from one published revision to the next; To may be more than From + 1.
type Delta struct {
	From, To        uint64
	InForce         string
	Services        []configuration.Service
	RemovedServices []string
	Presets         []configuration.Preset
	RemovedPresets  []string
	Routes          []configuration.Route `cbor:",omitempty"`
	RemovedRoutes   []string              `cbor:",omitempty"`
	Limits          configuration.Limits  `cbor:",omitzero"`
	// Digest is the digest of the full configuration at To.
	Digest uint64
}

// Response updates a follower to the newest revision. Whole is the full configuration; if it is
// nil, Deltas are the changes in order.
type Response struct {
	Whole  *configuration.Configuration
	Deltas []Delta
	// Revision is the newest revision that the responding process knows.
	Revision uint64
	// Current is set if the responding process has confirmed Revision as the newest accepted one.
	Current bool
	// Evacuations is set if it is newer than the follower's.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
	// Roster is set if it is newer than the follower's.
	Roster *roster.Roster
}

// GapError reports a delta that does not start at the follower's revision.
type GapError struct{ Held, From uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, current revision is %d; request the full configuration", e.From, e.Held)
}

// DigestError reports that the digest does not match after a delta was applied.
type DigestError struct{ Revision uint64 }

func (e *DigestError) Error() string {
	return fmt.Sprintf("digest mismatch of configuration at revision %d; request the full configuration", e.Revision)
}

// History is the newest configuration with the latest deltas; it is immutable.
type History struct {
	current configuration.Configuration
	deltas  []Delta
	limit   int
}

// New returns an empty history that keeps up to limit deltas.
func New(limit int) History { return History{limit: limit} }

// Current returns the newest configuration.
func (h History) Current() configuration.Configuration { return h.current }

// With returns the history with a newer configuration.
func (h History) With(c configuration.Configuration) History {
	d := Diff(h.current, c)
	known := h.current.Revision > 0
	h.current = c
	if !known {
		h.deltas = nil
		return h
	}
	first := max(len(h.deltas)+1-h.limit, 0)
	h.deltas = append(slices.Clone(h.deltas[min(first, len(h.deltas)):]), d)
	return h
}

// Since returns the update for a follower at a revision.
func (h History) Since(revision uint64) Response {
	response := Response{Revision: h.current.Revision}
	if revision >= h.current.Revision {
		return response
	}
	i := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.From == revision })
	if i < 0 || revision == 0 {
		c := h.current
		response.Whole = &c
		return response
	}
	response.Deltas = h.deltas[i:]
	return response
}

// Apply applies a response to a follower's configuration.
func Apply(held configuration.Configuration, response Response) (configuration.Configuration, error) {
	if response.Whole != nil {
		return *response.Whole, nil
	}
	for _, d := range response.Deltas {
		if d.From != held.Revision {
			return held, &GapError{Held: held.Revision, From: d.From}
		}
		held = d.apply(held)
		if Digest(held) != d.Digest {
			return held, &DigestError{Revision: d.To}
		}
	}
	return held, nil
}

// Digest returns a hash of a configuration that does not depend on the order of its
// parts. Deltas do not preserve the order; with an order-dependent digest, followers
// would fetch the full configuration after each delta and saturate the link of a small VM.
func Digest(c configuration.Configuration) uint64 {
	c.Services = sorted(c.Services, serviceName)
	c.Presets = sorted(c.Presets, presetName)
	c.Routes = sorted(c.Routes, routeName)
	b, _ := cbor.Marshal(c)
	return xxhash.Sum64(b)
}

// Diff returns the delta from one configuration to another.
func Diff(from, to configuration.Configuration) Delta {
	d := Delta{From: from.Revision, To: to.Revision, InForce: to.InForce, Digest: Digest(to)}
	d.Services, d.RemovedServices = changes(from.Services, to.Services, serviceName)
	d.Presets, d.RemovedPresets = changes(from.Presets, to.Presets, presetName)
	d.Routes, d.RemovedRoutes = changes(from.Routes, to.Routes, routeName)
	d.Limits = to.Limits
	return d
}

func serviceName(s configuration.Service) string { return s.Name }

func presetName(p configuration.Preset) string { return p.Name }

func sorted[T any](items []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(items), func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func routeName(r configuration.Route) string { return r.Name }

// changes returns the items that are new or differ, and the names of removed items.
func changes[T any](from, to []T, name func(T) string) ([]T, []string) {
	old := lo.KeyBy(from, name)
	current := lo.KeyBy(to, name)
	changed := lo.Filter(to, func(x T, _ int) bool {
		o, ok := old[name(x)]
		return !ok || !reflect.DeepEqual(o, x)
	})
	removed := lo.FilterMap(from, func(x T, _ int) (string, bool) {
		_, ok := current[name(x)]
		return name(x), !ok
	})
	return changed, removed
}

func (d Delta) apply(c configuration.Configuration) configuration.Configuration {
	c.Revision, c.InForce = d.To, d.InForce
	c.Services = merge(c.Services, d.Services, d.RemovedServices, serviceName)
	c.Presets = merge(c.Presets, d.Presets, d.RemovedPresets, presetName)
	c.Routes = merge(c.Routes, d.Routes, d.RemovedRoutes, routeName)
	c.Limits = d.Limits
	return c
}

func merge[T any](held, changed []T, removed []string, name func(T) string) []T {
	updates := lo.KeyBy(changed, name)
	var out []T
	for _, x := range held {
		n := name(x)
		if slices.Contains(removed, n) {
			continue
		}
		if y, ok := updates[n]; ok {
			x = y
			delete(updates, n)
		}
		out = append(out, x)
	}
	for _, x := range changed {
		if _, ok := updates[name(x)]; ok {
			out = append(out, x)
		}
	}
	return out
}
