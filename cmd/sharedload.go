package cmd

import (
	"context"
	"os"

	"wasabideal/internal/zoneload/status"
)

// sharedLoadCommand prints the load of all zones as known at balancers and voters.
type sharedLoadCommand struct {
	operatorFlags
	Balancers []string `help:"RPC addresses of balancers."`
}

// sharedLoadReport is the JSON output of the command.
type sharedLoadReport struct {
	Voters, Balancers []status.Status
	// Silent lists the addresses that did not respond.
	Silent []string
}

// Help shows an example.
func (sharedLoadCommand) Help() string {
	return "Example: wasabideal shared-load --control 127.0.0.1:7501 --balancers 127.0.0.1:7401"
}

// Run requests the load of each address once.
func (c *sharedLoadCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	var r sharedLoadReport
	request := func(addresses []string) []status.Status {
		var out []status.Status
		for _, a := range addresses {
			s, err := c.client().Load(ctx, a)
			if err != nil {
				r.Silent = append(r.Silent, a)
				continue
			}
			s.Address = a
			out = append(out, s)
		}
		return out
	}
	r.Voters, r.Balancers = request(c.Control), request(c.Balancers)
	if err := c.print(r); err != nil {
		return err
	}
	if len(r.Silent) > 0 {
		return &SilentError{Addresses: r.Silent}
	}
	return nil
}

func (c *sharedLoadCommand) print(r sharedLoadReport) error {
	if c.JSON {
		return printJSON(r)
	}
	return status.WriteTable(os.Stdout, append(r.Voters, r.Balancers...))
}
