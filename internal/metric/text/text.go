package text

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Printer writes the metrics of a registry, one per line, ordered by name.
type Printer struct {
	registry metrics.Registry
	prefix   string
}

// New returns a printer of a registry; prefix is prepended to all names.
func New(r metrics.Registry, prefix string) Printer { return Printer{registry: r, prefix: prefix} }

// Print writes all metrics.
func (p Printer) Print(w io.Writer) error {
	values := map[string]string{}
	p.registry.Each(func(name string, m any) {
		switch x := m.(type) {
		case metrics.Counter:
			values[name] = fmt.Sprint(x.Count())
		case metrics.Gauge:
			values[name] = fmt.Sprint(x.Value())
		case metrics.GaugeFloat64:
			values[name] = fmt.Sprint(x.Value())
		case metrics.Histogram:
			printHistogram(values, name, x.Snapshot())
		}
	})
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if _, err := fmt.Fprintf(w, "%s_%s %s\n", p.prefix, snakeCase(name), values[name]); err != nil {
			return fmt.Errorf("print metrics: %w", err)
		}
	}
	return nil
}

var quantiles = []struct {
	name string
	rank float64
}{{"P50", 0.5}, {"P90", 0.9}, {"P99", 0.99}}

// printHistogram adds the count, sum and quantiles of a histogram to values.
func printHistogram(values map[string]string, name string, h metrics.Histogram) {
	values[name+"Count"] = fmt.Sprint(h.Count())
	values[name+"Sum"] = fmt.Sprint(h.Sum())
	for _, q := range quantiles {
		values[name+q.name] = fmt.Sprint(h.Percentile(q.rank))
	}
}

// snakeCase converts PascalCase to snake_case, which scrapers expect.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		upper := r >= 'A' && r <= 'Z'
		if upper && i > 0 {
			b.WriteByte('_')
		}
		b.WriteString(strings.ToLower(string(r)))
	}
	return b.String()
}
