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

// Delta leads from one revision to the next.
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
	// Digest is that of the whole configuration at To.
	Digest uint64
}

// Answer brings a follower to the newest revision: Whole, or Deltas in order.
type Answer struct {
	Whole  *configuration.Configuration
	Deltas []Delta
	// Revision is the newest known to the answering process.
	Revision uint64
	// Current says that the answering process knows it to be the newest accepted.
	Current bool
	// Evacuations is set where it is newer than what the follower holds.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
	// Roster is set where it is newer than the one that the follower holds.
	Roster *roster.Roster
}

// GapError says that deltas do not lead from the revision held.
type GapError struct{ Held, From uint64 }

func (e *GapError) Error() string {
	return fmt.Sprintf("delta starts at revision %d, held is %d; ask for the whole configuration", e.From, e.Held)
}

// DigestError says that applying a delta gave another configuration than meant.
type DigestError struct{ Revision uint64 }

func (e *DigestError) Error() string {
	return fmt.Sprintf("configuration at revision %d has another digest; ask for the whole", e.Revision)
}

// History is the newest configuration and how it came about; immutable.
type History struct {
	current configuration.Configuration
	deltas  []Delta
	keep    int
}

// New returns an empty history that keeps up to keep deltas.
func New(keep int) History { return History{keep: keep} }

// Current returns the newest configuration.
func (h History) Current() configuration.Configuration { return h.current }

// With returns the history with a newer configuration.
func (h History) With(c configuration.Configuration) History {
	d := Between(h.current, c)
	known := h.current.Revision > 0
	h.current = c
	if !known {
		h.deltas = nil
		return h
	}
	first := max(len(h.deltas)+1-h.keep, 0)
	h.deltas = append(slices.Clone(h.deltas[min(first, len(h.deltas)):]), d)
	return h
}

// Since answers a follower that holds a revision.
func (h History) Since(revision uint64) Answer {
	a := Answer{Revision: h.current.Revision}
	if revision >= h.current.Revision {
		return a
	}
	i := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.From == revision })
	if i < 0 || revision == 0 {
		c := h.current
		a.Whole = &c
		return a
	}
	a.Deltas = h.deltas[i:]
	return a
}

// Follow applies an answer to the configuration held.
func Follow(held configuration.Configuration, a Answer) (configuration.Configuration, error) {
	if a.Whole != nil {
		return *a.Whole, nil
	}
	for _, d := range a.Deltas {
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

// Digest sums a whole configuration, whatever the order of its parts: deltas
// keep what they tell and not where it stood, and a follower that asked for the
// whole after each of them would fill the link of a small VM.
func Digest(c configuration.Configuration) uint64 {
	c.Services = sorted(c.Services, serviceName)
	c.Presets = sorted(c.Presets, presetName)
	c.Routes = sorted(c.Routes, routeName)
	b, _ := cbor.Marshal(c)
	return xxhash.Sum64(b)
}

// Between returns the delta from one configuration to another.
func Between(from, to configuration.Configuration) Delta {
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

// changes returns the items that are new or differ, and the names that are gone.
func changes[T any](from, to []T, name func(T) string) ([]T, []string) {
	old := lo.KeyBy(from, name)
	kept := lo.KeyBy(to, name)
	changed := lo.Filter(to, func(x T, _ int) bool {
		o, ok := old[name(x)]
		return !ok || !reflect.DeepEqual(o, x)
	})
	gone := lo.FilterMap(from, func(x T, _ int) (string, bool) {
		_, ok := kept[name(x)]
		return name(x), !ok
	})
	return changed, gone
}

func (d Delta) apply(c configuration.Configuration) configuration.Configuration {
	c.Revision, c.InForce = d.To, d.InForce
	c.Services = merge(c.Services, d.Services, d.RemovedServices, serviceName)
	c.Presets = merge(c.Presets, d.Presets, d.RemovedPresets, presetName)
	c.Routes = merge(c.Routes, d.Routes, d.RemovedRoutes, routeName)
	c.Limits = d.Limits
	return c
}

func merge[T any](held, changed []T, gone []string, name func(T) string) []T {
	news := lo.KeyBy(changed, name)
	var out []T
	for _, x := range held {
		n := name(x)
		if slices.Contains(gone, n) {
			continue
		}
		if y, ok := news[n]; ok {
			x = y
			delete(news, n)
		}
		out = append(out, x)
	}
	for _, x := range changed {
		if _, ok := news[name(x)]; ok {
			out = append(out, x)
		}
	}
	return out
}
