package followers

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// lineLimit bounds one line in bytes; longer ones are no lines of ours.
const lineLimit = 1 << 20

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

// EmptyError says that no log tells of a balancer.
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

// Read takes one log; lines that are none of ours are passed over, and so is what stands
// before a line's brace.
func (f *Followers) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, lineLimit)
	for s.Scan() {
		begin := bytes.IndexByte(s.Bytes(), '{')
		if begin < 0 {
			continue
		}
		var l wireLine
		if err := json.Unmarshal(s.Bytes()[begin:], &l); err == nil {
			f.note(l)
		}
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
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
