package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"wasabideal/internal/capacity/measure"
	"wasabideal/internal/capacity/page"
	"wasabideal/internal/capacity/slope"
)

// capacityCommand measures resource costs as slopes and writes the capacity page.
type capacityCommand struct {
	Slopes  string   `help:"File with the measured slopes." default:"docs/capacity/slopes.json"`
	Page    string   `help:"File of the capacity page." default:"docs/CAPACITY.md"`
	Measure bool     `help:"Run the measurements; otherwise only write the page." default:"true" negatable:""`
	Only    []string `help:"Names of the slopes to measure; all if empty."`
	Machine string   `help:"Description of this machine for the page." default:"8 cores, 24 GiB, Linux, loopback"`
}

const fileMode = 0o644

// Help shows an example.
func (capacityCommand) Help() string { return "Example: wasabideal capacity --no-measure" }

// Run measures and writes the slopes unless Measure is false, and then writes the page.
func (c *capacityCommand) Run() error {
	if c.Measure {
		if err := c.measure(); err != nil {
			return err
		}
	}
	b, err := os.ReadFile(c.Slopes)
	if err != nil {
		return fmt.Errorf("read slopes: %w", err)
	}
	p, err := page.Read(b)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Page, p.Render(), fileMode); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func (c *capacityCommand) measure() error {
	slopes, err := measure.NewSuite(os.Stdout).Run(func(name string) bool {
		return len(c.Only) == 0 || slices.Contains(c.Only, name)
	})
	if err != nil {
		return err
	}
	if len(c.Only) > 0 {
		if slopes, err = c.mergeWithFile(slopes); err != nil {
			return err
		}
	}
	b, err := json.MarshalIndent(page.Measured{
		Machine: c.Machine, Date: time.Now().Format(time.DateOnly), Slopes: slopes,
	}, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(c.Slopes, append(b, '\n'), fileMode); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}

// mergeWithFile returns the slopes of the file, updated with newly measured slopes. A measured slope
// replaces the slope of the same name, or is added.
func (c *capacityCommand) mergeWithFile(slopes []slope.Slope) ([]slope.Slope, error) {
	b, err := os.ReadFile(c.Slopes)
	if err != nil {
		return nil, fmt.Errorf("read slopes: %w", err)
	}
	var file page.Measured
	if err := json.Unmarshal(b, &file); err != nil {
		return nil, fmt.Errorf("decode slopes: %w", err)
	}
	for _, x := range slopes {
		i := slices.IndexFunc(file.Slopes, func(o slope.Slope) bool { return o.Name == x.Name })
		if i < 0 {
			file.Slopes = append(file.Slopes, x)
			continue
		}
		file.Slopes[i] = x
	}
	return file.Slopes, nil
}
