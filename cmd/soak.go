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

// soakCommand runs randomized fault-injection tests on real processes.
type soakCommand struct {
	Seed       uint64        `help:"Seed of the first run." default:"1"`
	Runs       int           `help:"Number of runs, each with the next seed." default:"1"`
	For        time.Duration `help:"Duration of fault injection in each run." default:"20s"`
	Folder     string        `help:"Folder for settings, data and logs; if empty, a new temporary folder."`
	Balancers  int           `help:"Number of balancers." default:"6"`
	Upstreams  int           `help:"Initial number of upstreams." default:"8"`
	Callers    int           `help:"Number of callers." default:"12"`
	Busy       int           `help:"Number of busy loops that compete for the CPUs." default:"0"`
	SharedLoad bool          `help:"Let processes share their load, and add bursts of load to the faults."`
}

// Help shows an example.
func (soakCommand) Help() string { return "Example: wasabideal soak --seed 7 --runs 5 --for 30s" }

// soakError reports the number of runs that violated an invariant.
type soakError struct{ Broken, Runs int }

func (e *soakError) Error() string {
	return fmt.Sprintf("%d of %d runs violated an invariant", e.Broken, e.Runs)
}

// Run executes the runs and prints one JSON line per run.
func (c *soakCommand) Run(ctx context.Context) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("locate executable: %w", err)
	}
	folder := c.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "wasabideal-soak-"); err != nil {
			return fmt.Errorf("create folder: %w", err)
		}
	}
	broken := 0
	for n := range c.Runs {
		if ctx.Err() != nil {
			break
		}
		seed := c.Seed + uint64(n)
		result, err := run.Execute(ctx, run.Settings{
			Seed: seed, For: c.For, Program: program, Folder: filepath.Join(folder, fmt.Sprint("seed-", seed)),
			Zones: 3, Balancers: c.Balancers, Upstreams: c.Upstreams, Callers: c.Callers, Busy: c.Busy, SharedLoad: c.SharedLoad, Platform: standin.New(),
		})
		var violation *run.BrokenError
		switch {
		case errors.As(err, &violation):
			result.Broken = append(result.Broken, err.Error())
		case err != nil:
			return fmt.Errorf("run seed %d: %w", seed, err)
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
