package status

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteTable writes the load as known at each process.
func WriteTable(out io.Writer, all []Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(cells ...string) { _, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) }
	row("PROCESS", "SHARED", "VERSION", "ZONE", "AGE", "BALANCERS", "LINK", "DELAY")
	for _, s := range all {
		if len(s.Zones) == 0 {
			row(s.Address, fmt.Sprint(s.Shared), fmt.Sprint(s.Version), "-", "-", "-", "-", "-")
		}
		for _, z := range s.Zones {
			row(s.Address, fmt.Sprint(s.Shared), fmt.Sprint(s.Version), z.Name, milliseconds(z.Age), z.included(), percent(z.LinkUse), milliseconds(z.LinkDelay))
		}
	}
	row()
	row("PROCESS", "SERVICE", "CALLERS", "OCCUPIED", "ADMITTED", "REJECTED")
	for _, s := range all {
		for _, z := range s.Zones {
			for _, x := range z.Services {
				row(s.Address, x.Name, z.Name, figures(x.Occupied), x.Admitted.String(), x.Rejected.String())
			}
		}
	}
	row()
	row("BALANCER", "ZONE", "SERVICE", "USABLE", "LEAVING", "USE", "URGENT", "ORDINARY", "LINK", "DELAY")
	for _, s := range all {
		if b := s.Balancer; b != nil {
			for _, d := range b.Services {
				row(s.Address, b.Zone, d.Service, figures(d.Usable), shares(d.Shares), d.use(), d.Urgent.String(), d.Ordinary.String(), b.linkUse(), b.linkDelay())
			}
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write load: %w", err)
	}
	return nil
}

func (z Zone) included() string {
	text := fmt.Sprintf("%d/%d", z.Balancers, z.Known)
	if z.Partial {
		text += " partial"
	}
	return text
}

// String returns the rates of urgent and of ordinary flows.
func (r Rates) String() string { return fmt.Sprintf("%.0f+%.0f/s", r.Urgent, r.Ordinary) }

// String returns the limit and the rejected share.
func (a Admission) String() string {
	if a.Limit == 0 {
		return "-"
	}
	return fmt.Sprintf("limit %.2f rejected %s", a.Limit, percent(a.RejectedShare))
}

func (d Decision) use() string {
	if !d.UseKnown {
		return "unknown"
	}
	return fmt.Sprintf("%.2f", d.Use)
}

func (b *Balancer) linkUse() string {
	if !b.LinkAdmission {
		return "-"
	}
	return percent(b.LinkUse)
}

func (b *Balancer) linkDelay() string {
	if !b.LinkAdmission {
		return "-"
	}
	return milliseconds(b.LinkDelay)
}

func shares(all []Share) string {
	var parts []string
	for _, x := range all {
		text := x.Zone + "=" + percent(x.Short)
		if x.Bulk > 0 {
			text += "(bulk " + percent(x.Bulk) + ")"
		}
		parts = append(parts, text)
	}
	return orDash(parts)
}

// figures formats figures by zone, sorted by zone.
func figures(byZone map[string]float64) string {
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		parts = append(parts, fmt.Sprintf("%s=%.1f", zone, byZone[zone]))
	}
	return orDash(parts)
}

func orDash(parts []string) string {
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, " ")
}

func percent(x float64) string { return fmt.Sprintf("%.0f%%", 100*x) }

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
