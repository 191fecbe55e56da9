package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wasabideal/internal/soak/run"
	"wasabideal/platform/standin"
)

// soakCommand plays random runs of the real programs.
type soakCommand struct {
	Seed      uint64        `help:"Seed of the first run." default:"1"`
	Runs      int           `help:"Number of runs, with one seed after the other." default:"1"`
	For       time.Duration `help:"How long faults are injected in each run." default:"20s"`
	Folder    string        `help:"Folder for settings, disks and logs; a new one where empty."`
	Balancers int           `help:"Number of balancers." default:"6"`
	Upstreams int           `help:"Number of upstreams at the start." default:"8"`
	Callers   int           `help:"Number of callers." default:"12"`
	Busy      int           `help:"Number of loops that take processors beside the runs." default:"0"`
}

// Help shows an example.
func (soakCommand) Help() string { return "Example: wasabideal soak --seed 7 --runs 5 --for 30s" }

// soakError says how many runs broke a promise.
type soakError struct{ Broken, Runs int }

func (e *soakError) Error() string {
	return fmt.Sprintf("%d of %d runs broke a promise", e.Broken, e.Runs)
}

// Run plays the runs and prints a line of JSON for each.
func (c *soakCommand) Run(ctx context.Context) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find this program: %w", err)
	}
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "wasabideal-soak-"); err != nil {
			return fmt.Errorf("make folder: %w", err)
		}
	}
	broken := 0
	for n := range c.Runs {
		if ctx.Err() != nil {
			break
		}
		seed := c.Seed + uint64(n)
		result, err := run.Play(ctx, run.Settings{
			Seed: seed, For: c.For, Program: program, Folder: filepath.Join(folder, fmt.Sprint("seed-", seed)),
			Zones: 3, Balancers: c.Balancers, Upstreams: c.Upstreams, Callers: c.Callers, Busy: c.Busy, World: standin.New(),
		})
		var promise *run.BrokenError
		switch {
		case errors.As(err, &promise):
			result.Broken = append(result.Broken, err.Error())
		case err != nil:
			return fmt.Errorf("play seed %d: %w", seed, err)
		}
		if len(result.Broken) > 0 {
			broken++
		}
		b, err := json.Marshal(result)
		if err != nil {
			return fmt.Errorf("encode result: %w", err)
		}
		fmt.Println(string(b))
	}
	if broken > 0 {
		return &soakError{Broken: broken, Runs: c.Runs}
	}
	return nil
}
