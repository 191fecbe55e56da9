package cmd

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/evacuation"
)

// zoneCommand groups the commands on availability zones.
type zoneCommand struct {
	Evacuate zoneEvacuateCommand `cmd:"" help:"Stop sending new flows to the upstreams of a zone; open flows continue."`
	Restore  zoneRestoreCommand  `cmd:"" help:"Resume sending new flows to the upstreams of a zone."`
	List     zoneListCommand     `cmd:"" help:"List the zones that were evacuated or restored."`
}

// zoneEvacuateCommand stops new flows to a zone.
type zoneEvacuateCommand struct {
	operatorFlags
	changeFlags
	Name string `arg:"" help:"Availability zone (setting Zone of its VMs)."`
}

// Help shows an example.
func (zoneEvacuateCommand) Help() string {
	return "Example: wasabideal zone evacuate port-tawfik --expect-revision 0 --change-key hall-2-cooling\n" +
		"The expected revision is the zone's revision in 'wasabideal zone list', or 0 if the zone is not listed."
}

// Run sends the change.
func (c *zoneEvacuateCommand) Run(ctx context.Context) error {
	return sendEvacuation(ctx, &c.operatorFlags, &c.changeFlags, ledger.Evacuation{Zone: c.Name, On: true})
}

// zoneRestoreCommand reverts an evacuation.
type zoneRestoreCommand struct {
	operatorFlags
	changeFlags
	Name string `arg:"" help:"Availability zone (setting Zone of its VMs)."`
}

// Help shows an example.
func (zoneRestoreCommand) Help() string {
	return "Example: wasabideal zone restore port-tawfik --expect-revision 1 --change-key hall-2-cooled"
}

// Run sends the change.
func (c *zoneRestoreCommand) Run(ctx context.Context) error {
	return sendEvacuation(ctx, &c.operatorFlags, &c.changeFlags, ledger.Evacuation{Zone: c.Name})
}

func sendEvacuation(ctx context.Context, o *operatorFlags, f *changeFlags, e ledger.Evacuation) error {
	if err := (evacuation.Evacuations{}).Check(e.Zone); err != nil {
		return err
	}
	ctx, cancel := o.context(ctx)
	defer cancel()
	request := f.change()
	request.Evacuate = &e
	return o.send(ctx, request)
}

// zoneListCommand lists the zones that have been evacuated or restored.
type zoneListCommand struct{ operatorFlags }

// Help shows an example.
func (zoneListCommand) Help() string { return "Example: wasabideal zone list --json" }

// Run prints the latest state of each zone.
func (c *zoneListCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	e, err := c.client().Evacuations(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ZONE\tREVISION\tSTATE\tWHO\tWHEN\tKEY")
	for _, z := range e.Zones {
		state := "in service"
		if z.Evacuated {
			state = "evacuated"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\n", z.Name, z.Revision, state, z.Who, z.When.UTC().Format(time.RFC3339), z.ChangeKey)
	}
	return w.Flush()
}
