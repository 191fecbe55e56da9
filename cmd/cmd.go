package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"wasabideal/internal/operator/exit"
)

type commands struct {
	Serve     serveCommand     `cmd:"" help:"Run a balancer, a control voter or both."`
	Check     checkCommand     `cmd:"" help:"Validate settings and configuration files."`
	Machine   machineCommand   `cmd:"" help:"Run a process on a VM of the platform."`
	Apply     applyCommand     `cmd:"" help:"Replace services and presets as a whole."`
	Preset    presetCommand    `cmd:"" help:"Switch or list presets."`
	Zone      zoneCommand      `cmd:"" help:"Evacuate, restore or list availability zones."`
	Status    statusCommand    `cmd:"" help:"Show voters and balancers."`
	Audit     auditCommand     `cmd:"" help:"Print the trail of changes."`
	Drain     drainCommand     `cmd:"" help:"Begin a balancer's planned stop."`
	Forget    forgetCommand    `cmd:"" help:"Say that a balancer is gone for good."`
	Remove    removeCommand    `cmd:"" help:"Take a control voter out of the list for good."`
	Replay    replayCommand    `cmd:"" help:"Reduce a recorded trace again and print its effects."`
	Explain   explainCommand   `cmd:"" help:"Tell why a request failed, or what became of a change, from logs."`
	Followers followersCommand `cmd:"" help:"Tell from logs which balancer follows which, and why."`
	Capacity  capacityCommand  `cmd:"" help:"Measure the slopes and write the capacity page."`
	Load      loadCommand      `cmd:"" help:"Load running balancers with flows and requests."`
	Demo      demoCommand      `cmd:"" help:"Play the whole path on loopback in one process, with failures."`
	Soak      soakCommand      `cmd:"" help:"Play random runs of the real programs with faults."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// Main runs the command that the arguments name and returns the exit status.
func Main(args []string) int {
	// Daemons whose settings change while they start would end by the signal that says so.
	signal.Ignore(syscall.SIGHUP)
	var c commands
	parser, err := kong.New(&c, kong.Name("wasabideal"), kong.UsageOnError(),
		kong.Description("A layer-4 load balancer for fleets that change all at once."))
	if err != nil {
		return fail(err)
	}
	k, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "wasabideal:", err)
		return int(exit.Usage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		return fail(err)
	}
	return int(exit.Done)
}

func fail(err error) int {
	_, _ = fmt.Fprintln(os.Stderr, "wasabideal:", err)
	return int(exit.Of(err))
}
