package cmd

import (
	"context"
	"fmt"
)

// presetCommand groups the commands on presets.
type presetCommand struct {
	Use  presetUseCommand  `cmd:"" help:"Activate a preset on all balancers."`
	List presetListCommand `cmd:"" help:"List the presets and mark the active one."`
}

// presetUseCommand activates a preset.
type presetUseCommand struct {
	operatorFlags
	changeFlags
	Name string `arg:"" help:"Preset to activate."`
}

// Help shows an example.
func (presetUseCommand) Help() string {
	return "Example: wasabideal preset use peak --expect-revision 1 --change-key friday-peak"
}

// Run sends the change.
func (c *presetUseCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	request := c.change()
	request.UsePreset = c.Name
	return c.send(ctx, request)
}

// presetListCommand lists the presets.
type presetListCommand struct{ operatorFlags }

// Help shows an example.
func (presetListCommand) Help() string { return "Example: wasabideal preset list --json" }

// Run prints the presets of the newest known revision.
func (c *presetListCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	current, err := c.client().Current(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(current)
	}
	if !current.Current {
		fmt.Println("no leader: this may not be the newest revision")
	}
	fmt.Printf("revision %d\n", current.Configuration.Revision)
	for _, p := range current.Configuration.Presets {
		mark := " "
		if p.Name == current.Configuration.InForce {
			mark = "*"
		}
		fmt.Printf("%s %s\n", mark, p.Name)
	}
	return nil
}
