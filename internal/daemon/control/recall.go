package control

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/disk/folder"
	"wasabideal/internal/upstream/directory"
)

const (
	upstreamsFile = "upstreams"
	// forgetUpstream is how long silent and withdrawn upstreams are remembered:
	// longer than any flow may stay open.
	forgetUpstream = 90 * time.Second
	// recallEvery is the least time between two writes of the upstreams known, and
	// recallEach is added for each of them: encoding 3,000 takes 1.4 ms, 0.6 % of a
	// VM with a quarter of a core if done every second.
	recallEvery = time.Second
	recallEach  = 2 * time.Millisecond
	// agePace is how often announcements are looked at for silence, and how late
	// gathered news of upstreams are told at most.
	agePace = 100 * time.Millisecond
)

// callsEvery is the time between two log lines on the calls that others made.
const callsEvery = 10 * time.Second

// logCalls logs how many calls of each kind were answered, from which what a voter's
// processor is spent on can be told afterwards.
func (c *Control) logCalls(now time.Time) {
	if now.Sub(c.callsLogged) < callsEvery {
		return
	}
	c.callsLogged = now
	args := []any{}
	for _, name := range slices.Sorted(maps.Keys(c.server.Calls())) {
		if n := c.server.Calls()[name]; n > 0 {
			args = append(args, strings.ReplaceAll(name, ".", ""), n)
		}
	}
	c.log.Info("calls", args...)
}

// keepUpstreams ages announcements and tells what was gathered.
func (c *Control) keepUpstreams(ctx context.Context) {
	t := time.NewTicker(agePace)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.feed.SetMembers(c.voter.Members())
			now := c.settings.Clock()
			c.feed.Tick(now)
			c.logCalls(now)
		}
	}
}

// saveUpstreams writes what is heard here and what other voters hear to the disk
// when it changes, so that a restart of all voters at once does not leave the
// balancers without upstreams until each has announced itself again. It runs beside
// keepUpstreams: a disk that hangs must not keep news from balancers.
func (c *Control) saveUpstreams(ctx context.Context) {
	t := time.NewTicker(agePace)
	defer t.Stop()
	var written, writtenOthers uint64
	var due time.Time
	var failing bool
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := c.settings.Clock()
		if now.Before(due) || c.feed.Version() == written && c.others.changes() == writtenOthers {
			continue
		}
		notices, version := c.feed.Notices(now)
		versionOthers := c.others.changes()
		notices = c.others.with(now, notices)
		due = now.Add(recallEvery + time.Duration(len(notices))*recallEach)
		err := c.writeUpstreams(notices)
		if err == nil {
			written, writtenOthers = version, versionOthers
		} else if !failing {
			c.log.Warn("upstreams are not on disk", "Error", err)
		}
		failing = err != nil
	}
}

func (c *Control) writeUpstreams(notices []directory.Notice) error {
	b, err := cbor.Marshal(notices)
	if err != nil {
		return fmt.Errorf("encode upstreams: %w", err)
	}
	return folder.Replace(c.folder, upstreamsFile, b)
}

// recallUpstreams takes what an earlier life of this process had heard. It is
// as good as an announcement of just now, and ends like one.
func (c *Control) recallUpstreams() {
	b, err := c.folder.ReadFile(upstreamsFile)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	var notices []directory.Notice
	if err == nil {
		err = cbor.Unmarshal(b, &notices)
	}
	if err != nil {
		c.log.Warn("upstreams on disk cannot be read", "Error", err)
		return
	}
	now := c.settings.Clock()
	for _, n := range notices {
		switch {
		case n.Silent || n.Replaced:
		case n.Recalled:
			c.feed.Recall(now, n.Upstream, n.Cold)
		default:
			c.feed.Announce(now, n.Upstream, n.Cold)
		}
	}
	c.log.Info("upstreams recalled", "Count", len(notices))
}
