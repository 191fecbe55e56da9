package cmd

import "wasabideal/platform/process"

// machineCommand runs a process on a VM of the users' platform.
type machineCommand struct{}

// Help describes the source of the settings.
func (machineCommand) Help() string {
	return "An environment variable set by the platform names the settings file; deploy/system.toml starts the processes."
}

// Run serves until a planned stop.
func (machineCommand) Run() error { return process.Run() }
