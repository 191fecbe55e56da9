package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/control/voter"
)

// statusCommand prints the status of voters and balancers.
type statusCommand struct {
	operatorFlags
	Balancers []string `help:"RPC addresses of balancers."`
}

// statusReport is the JSON output of the command.
type statusReport struct {
	Voters    []voter.Report
	Balancers []reducer.Status
	// Silent lists the addresses that did not respond.
	Silent []string
}

// SilentError reports the addresses that did not respond.
type SilentError struct{ Addresses []string }

func (e *SilentError) Error() string { return fmt.Sprintf("no response from %v", e.Addresses) }

// Help shows an example.
func (statusCommand) Help() string {
	return "Example: wasabideal status --control 127.0.0.1:7501 --balancers 127.0.0.1:7401"
}

// Run requests the status of each address once.
func (c *statusCommand) Run(ctx context.Context) error {
	ctx, cancel := c.context(ctx)
	defer cancel()
	var r statusReport
	for _, a := range c.Control {
		v, err := c.client().Voter(ctx, a)
		if err != nil {
			r.Silent = append(r.Silent, a)
			continue
		}
		r.Voters = append(r.Voters, v)
	}
	for _, a := range c.Balancers {
		b, err := c.client().Balancer(ctx, a)
		if err != nil {
			r.Silent = append(r.Silent, a)
			continue
		}
		r.Balancers = append(r.Balancers, b)
	}
	if err := c.print(r); err != nil {
		return err
	}
	if len(r.Silent) > 0 {
		return &SilentError{Addresses: r.Silent}
	}
	return nil
}

func (c *statusCommand) print(r statusReport) error {
	if c.JSON {
		return printJSON(r)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VOTER\tROLE\tTERM\tREVISION\tPRESET\tCURRENT\tSILENCE")
	for _, v := range r.Voters {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%v\t%s\n", v.Name, v.Role, v.Term, v.Revision, v.InForce, v.Current, v.Silence)
	}
	_, _ = fmt.Fprintln(w, "BALANCER\tZONE\tREVISION\tPRESET\tAGE\tFLOWS\tMEMBERS\tUPSTREAMS\tISOLATED\tEVACUATED")
	for _, b := range r.Balancers {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%v\t%s\n", b.Name, b.Zone, b.Revision, b.InForce, b.RevisionAge,
			b.Flows, len(b.Members), len(b.Upstreams), b.Isolated, strings.Join(b.Evacuated, ","))
	}
	return w.Flush()
}
