package followers

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"wasabideal/internal/log/lines"
)

// The messages that tell of it.
const (
	messageStart   = "start"
	messageFollows = "follows"
)

// wireLine is a log line as the processes write it.
type wireLine struct {
	Message     string    `json:"@message"`
	Process     string    `json:"@module"`
	At          time.Time `json:"@timestamp"`
	Role        string
	Zone        string
	Rpc         string
	Parent      string
	Reason      string
	Level       int
	Balancers   int
	FreshVoters int
}

// EmptyError says that no log has a balancer's lines.
type EmptyError struct{}

func (*EmptyError) Error() string {
	return "no log has a balancer's line 'start' or 'follows'; pass the balancers' logs"
}

// balancer is what its log says last.
type balancer struct {
	wireLine
	zone    string
	changes int
}

// Followers is what some logs tell.
type Followers struct {
	balancers map[string]balancer
	// names are the processes by their call addresses.
	names map[string]string
}

// New returns one that has read no log.
func New() *Followers {
	return &Followers{balancers: map[string]balancer{}, names: map[string]string{}}
}

// Read takes one log; lines that are none of ours are passed over.
func (f *Followers) Read(r io.Reader) error {
	return lines.Read(r, func(line []byte) {
		var l wireLine
		if err := json.Unmarshal(line, &l); err == nil {
			f.note(l)
		}
	})
}

func (f *Followers) note(l wireLine) {
	b := f.balancers[l.Process]
	switch {
	case l.Message == messageStart && l.Role == "balancer":
		b.zone, b.wireLine, b.changes = l.Zone, l, 0
		f.names[l.Rpc] = l.Process
	case l.Message == messageFollows && !l.At.Before(b.At):
		b.wireLine = l
		b.changes++
	default:
		return
	}
	f.balancers[l.Process] = b
}

// Tell writes a line for each balancer, by zone and level.
func (f *Followers) Tell(w io.Writer) error {
	if len(f.balancers) == 0 {
		return &EmptyError{}
	}
	all := slices.SortedFunc(maps.Values(f.balancers), func(a, b balancer) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.Level, b.Level), cmp.Compare(a.Process, b.Process))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ZONE\tLEVEL\tBALANCER\tFOLLOWS\tSINCE\tREASON\tVOTERS HEARD\tCHANGES")
	for _, b := range all {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\n", b.zone, b.Level, b.Process, f.parent(b),
			b.At.Format("15:04:05.000"), cmp.Or(b.Reason, "start"), b.FreshVoters, b.changes)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write followers: %w", err)
	}
	return nil
}

func (f *Followers) parent(b balancer) string {
	if b.Parent == "" {
		return "the voters"
	}
	return cmp.Or(f.names[b.Parent], b.Parent)
}
