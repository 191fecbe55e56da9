package cmd

import (
	"context"
	"fmt"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/operator/document"
)

// changeFlags make a change safe against concurrent changes and safe to retry.
type changeFlags struct {
	ExpectRevision uint64 `help:"Revision that the change is based on; the change is rejected if another revision is current." required:""`
	ChangeKey      string `help:"Unique key of this change; a retry with the same key returns the first result." required:""`
	Who            string `help:"Author of the change for the audit trail."`
}

func (f *changeFlags) change() ledger.Change {
	who := f.Who
	if who == "" {
		who = currentUser()
	}
	return ledger.Change{ExpectRevision: f.ExpectRevision, ChangeKey: f.ChangeKey, Who: who}
}

// applyCommand replaces all services and presets.
type applyCommand struct {
	operatorFlags
	changeFlags
	File   string `arg:"" help:"Configuration file."`
	DryRun bool   `help:"Print the difference without applying it."`
}

// NotConfigurationError reports a file with process settings in place of a configuration.
type NotConfigurationError struct{ File string }

func (e *NotConfigurationError) Error() string {
	return e.File + " is not a configuration file: Presets and Services are missing"
}

// Help shows an example.
func (applyCommand) Help() string {
	return "Example: wasabideal apply examples/suez.toml --expect-revision 0 --change-key first-apply"
}

// Run sends the configuration, or prints the difference for a dry run.
func (c *applyCommand) Run(ctx context.Context) error {
	doc, err := document.Read(c.File)
	if err != nil {
		return err
	}
	if doc.Configuration == nil {
		return &NotConfigurationError{File: c.File}
	}
	ctx, cancel := c.context(ctx)
	defer cancel()
	request := c.change()
	request.Apply = doc.Configuration
	if c.DryRun {
		return c.dryRun(ctx, request)
	}
	return c.send(ctx, request)
}

func (f *operatorFlags) send(ctx context.Context, request ledger.Change) error {
	response, err := f.client().Change(ctx, request)
	if err != nil {
		return err
	}
	if f.JSON {
		return printJSON(response)
	}
	_, err = fmt.Printf("accepted as revision %d\n", response.Revision)
	return err
}

func (c *applyCommand) dryRun(ctx context.Context, request ledger.Change) error {
	current, err := c.client().Current(ctx)
	if err != nil {
		return err
	}
	next, err := ledger.Next(current.Configuration, request)
	if err != nil {
		return err
	}
	delta := history.Diff(current.Configuration, next)
	if c.JSON {
		return printJSON(delta)
	}
	fmt.Printf("from revision %d to %d\n", delta.From, delta.To)
	for _, s := range delta.Services {
		fmt.Printf("service %s: added or changed\n", s.Name)
	}
	for _, n := range delta.RemovedServices {
		fmt.Printf("service %s: removed\n", n)
	}
	for _, p := range delta.Presets {
		fmt.Printf("preset %s: added or changed\n", p.Name)
	}
	for _, n := range delta.RemovedPresets {
		fmt.Printf("preset %s: removed\n", n)
	}
	return nil
}
