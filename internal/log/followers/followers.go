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

// Messages of the log lines that are read.
const (
	messageStart   = "start"
	messageFollows = "follows"
)

// logLine is a log line in the form that processes write.
type logLine struct {
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

// EmptyError reports that no log contains lines of a balancer.
type EmptyError struct{}

func (*EmptyError) Error() string {
	return "no log contains a line 'start' or 'follows' of a balancer; pass the logs of balancers"
}

// balancer is the last logged state of a balancer.
type balancer struct {
	logLine
	// zone is the zone in the line 'start'; lines 'follows' have no zone.
	zone string
	// changes is the number of lines 'follows' since the balancer started.
	changes int
}

// Followers collects the balancers and their parents from logs.
type Followers struct {
	balancers map[string]balancer
	// names maps RPC addresses to process names.
	names map[string]string
}

// New returns a Followers without balancers.
func New() *Followers {
	return &Followers{balancers: map[string]balancer{}, names: map[string]string{}}
}

// Read adds one log; lines in other formats are skipped.
func (f *Followers) Read(r io.Reader) error {
	return lines.Read(r, func(line []byte) {
		var l logLine
		if err := json.Unmarshal(line, &l); err == nil {
			f.record(l)
		}
	})
}

func (f *Followers) record(l logLine) {
	b := f.balancers[l.Process]
	switch {
	case l.Message == messageStart && l.Role == "balancer":
		b.zone, b.logLine, b.changes = l.Zone, l, 0
		f.names[l.Rpc] = l.Process
	case l.Message == messageFollows && !l.At.Before(b.At):
		b.logLine = l
		b.changes++
	default:
		return
	}
	f.balancers[l.Process] = b
}

// WriteTable writes a table of the balancers, ordered by zone and level.
func (f *Followers) WriteTable(w io.Writer) error {
	if len(f.balancers) == 0 {
		return &EmptyError{}
	}
	all := slices.SortedFunc(maps.Values(f.balancers), func(a, b balancer) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.Level, b.Level), cmp.Compare(a.Process, b.Process))
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "ZONE\tLEVEL\tBALANCER\tFOLLOWS\tSINCE\tREASON\tFRESH VOTERS\tCHANGES")
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
