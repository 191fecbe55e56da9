package page

import (
	"bytes"
	"encoding/json"
	"fmt"

	"wasabideal/internal/capacity/slope"
)

// Measured is the content of the slopes file.
type Measured struct {
	Machine, Date string
	Slopes        []slope.Slope
}

// MissingError reports a slope that the file does not contain.
type MissingError struct{ Name string }

func (e *MissingError) Error() string { return "slope " + e.Name + " is missing; run: task capacity" }

// Page is the capacity page before rendering.
type Page struct {
	measured Measured
	slopes   map[string]slope.Slope
}

// Read decodes a slopes file and checks that it contains every slope that the page uses.
func Read(b []byte) (Page, error) {
	var m Measured
	if err := json.Unmarshal(b, &m); err != nil {
		return Page{}, fmt.Errorf("decode slopes: %w", err)
	}
	p := Page{measured: m, slopes: map[string]slope.Slope{}}
	for _, s := range m.Slopes {
		p.slopes[s.Name] = s
	}
	for _, name := range needed {
		if _, ok := p.slopes[name]; !ok {
			return p, &MissingError{Name: name}
		}
	}
	return p, nil
}

// at returns the cost of a slope at size x, never less than 0.
func (p Page) at(name string, x float64) float64 { return max(p.slopes[name].UpperBound(x), 0) }

// Render returns the page in Markdown.
func (p Page) Render() []byte {
	var b bytes.Buffer
	today, fleet, plan := todaySize(), fleetSize(), plannedSize()
	_, _ = fmt.Fprintf(&b, head, p.measured.Machine, p.measured.Date)
	p.renderSummary(&b, plan)
	p.renderLines(&b, today, fleet, plan)
	p.renderFailures(&b, plan)
	b.WriteString(limitsText)
	b.WriteString(fleetText)
	b.WriteString(sharedLoadText)
	b.WriteString(sweepsText)
	p.renderSlopes(&b)
	return b.Bytes()
}

func (p Page) renderSummary(b *bytes.Buffer, plan size) {
	b.WriteString("| Role | Resource | Plan | Limit | Within |\n|---|---|---|---|---|\n")
	for _, l := range p.lines(plan) {
		if l.limit > 0 {
			_, _ = fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", l.role, l.resource, number(l.value), number(l.limit), withinLimit(l))
		}
	}
}

func withinLimit(l line) string {
	if l.value <= l.limit {
		return "yes"
	}
	return "**no**"
}

func number(v float64) string {
	switch {
	case v >= 1e9:
		return fmt.Sprintf("%.3g G", v/1e9)
	case v >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case v >= 1e4:
		return fmt.Sprintf("%.3g k", v/1e3)
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

func (p Page) renderLines(b *bytes.Buffer, today, fleet, plan size) {
	b.WriteString("\n## Calculation, line by line\n")
	todayLines, fleetLines, planLines := p.lines(today), p.lines(fleet), p.lines(plan)
	role := ""
	for i, l := range planLines {
		if l.role != role {
			role = l.role
			_, _ = fmt.Fprintf(b, "\n### %s\n\n| Resource | Formula | Today | Fleet | Plan | Limit | Headroom | Mechanism |\n|---|---|---|---|---|---|---|---|\n", role)
		}
		limit, headroom := "none", ""
		if l.limit > 0 {
			limit = number(l.limit)
			headroom = fmt.Sprintf("%.1f x", l.limit/max(l.value, 1e-9))
		}
		_, _ = fmt.Fprintf(b, "| %s | `%s` | %s | %s | %s | %s | %s | %s |\n",
			l.resource, l.formula, number(todayLines[i].value), number(fleetLines[i].value), number(l.value), limit, headroom, l.mechanism)
	}
}

func (p Page) renderSlopes(b *bytes.Buffer) {
	b.WriteString("\n## Slopes\n\nMeasured by `go run . capacity` (`task capacity`); the figures are in `docs/capacity/slopes.json`.\n\n" +
		"| Slope | Points (size: cost) | Line | R2 | Deviates at size |\n|---|---|---|---|---|\n")
	for _, s := range p.measured.Slopes {
		points := ""
		for i, q := range s.Points {
			if i > 0 {
				points += ", "
			}
			points += fmt.Sprintf("%s: %s", number(q.X), number(q.Y))
		}
		bend := "none"
		if s.Bend > 0 {
			bend = number(s.Bend)
		}
		_, _ = fmt.Fprintf(b, "| %s (%s) | %s | %.4g + %.4g per %s | %.3f | %s |\n", s.Name, s.Unit, points, s.Intercept, s.Gradient, s.Per, s.Fit, bend)
	}
}
