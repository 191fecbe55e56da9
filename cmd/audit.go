package cmd

import "context"

// auditCommand prints the audit trail of changes.
type auditCommand struct {
	operatorFlags
	Last int `help:"Number of lines." default:"20"`
}

// Help shows an example.
func (auditCommand) Help() string { return "Example: wasabideal audit --last 5" }

// Run prints JSON lines, oldest first.
func (c *auditCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	lines, err := c.client().Audit(ctx, c.Last)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if err := printJSON(l); err != nil {
			return err
		}
	}
	return nil
}
