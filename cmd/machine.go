package cmd

import "wasabideal/platform/machine"

// machineCommand runs a process on a VM of the users' platform.
type machineCommand struct{}

// Help says where the settings come from.
func (machineCommand) Help() string {
	return "The platform names the settings file in the environment; deploy/system.toml starts the processes."
}

// Run serves until a planned stop.
func (machineCommand) Run() error { return machine.Run() }
