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
	Serve      serveCommand      `cmd:"" help:"Run a balancer, a control voter or both."`
	Check      checkCommand      `cmd:"" help:"Validate settings and configuration files."`
	Machine    machineCommand    `cmd:"" help:"Run a process on a VM of the platform."`
	Apply      applyCommand      `cmd:"" help:"Replace all services and presets."`
	Preset     presetCommand     `cmd:"" help:"Switch or list presets."`
	Zone       zoneCommand       `cmd:"" help:"Evacuate, restore or list availability zones."`
	Status     statusCommand     `cmd:"" help:"Show voters and balancers."`
	Audit      auditCommand      `cmd:"" help:"Print the audit trail of changes."`
	Drain      drainCommand      `cmd:"" help:"Start the planned stop of a balancer."`
	Forget     forgetCommand     `cmd:"" help:"Declare a balancer permanently gone."`
	Remove     removeCommand     `cmd:"" help:"Permanently remove a control voter."`
	Replay     replayCommand     `cmd:"" help:"Replay a recorded trace and print its effects."`
	Explain    explainCommand    `cmd:"" help:"Explain from logs why a flow or request failed, or how a change was applied."`
	Followers  followersCommand  `cmd:"" help:"Show from logs which balancer follows which, and why."`
	Capacity   capacityCommand   `cmd:"" help:"Measure resource costs and write the capacity page."`
	Load       loadCommand       `cmd:"" help:"Generate load of flows and requests on running balancers."`
	SharedLoad sharedLoadCommand `cmd:"" help:"Show the load of all availability zones as known at balancers and voters."`
	Demo       demoCommand       `cmd:"" help:"Run all components on loopback in one process, with injected failures."`
	Soak       soakCommand       `cmd:"" help:"Run randomized fault-injection tests on real processes."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Main parses the arguments, runs the command and returns the exit status.
func Main(args []string) int {
	// SIGHUP tells a daemon to reload its settings. The default action of the signal would end a
	// daemon that is still starting.
	signal.Ignore(syscall.SIGHUP)
	var c commands
	parser, err := kong.New(&c, kong.Name("wasabideal"), kong.UsageOnError(),
		kong.Description("A layer-4 load balancer for fleets whose configuration changes all at once."))
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
	return int(exit.StatusOf(err))
}
