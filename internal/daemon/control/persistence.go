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
	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/disk/folder"
	"wasabideal/internal/upstream/directory"
)

const (
	// upstreamsFile holds the upstreams that announce themselves to this voter,
	// remoteUpstreamsFile the upstreams that announce themselves to other voters.
	upstreamsFile       = "upstreams"
	remoteUpstreamsFile = "upstreams-elsewhere"
	// claimsFile holds the claims on shared cookies.
	claimsFile = "cookie-claims"
	// forgetAfter is how long silent and withdrawn upstreams stay known. It exceeds the time
	// that any flow may stay open.
	forgetAfter = 90 * time.Second
	// saveInterval is the minimum time between two writes of a file of upstreams, and
	// saveIntervalPerUpstream is added for each upstream in the file. Encoding 3,000 upstreams
	// takes 1.4 ms; once a second, that is 0.6 % of the CPU time of a quarter of a core.
	saveInterval            = time.Second
	saveIntervalPerUpstream = 2 * time.Millisecond
	// tickInterval is how often upstreams are checked for silence, and the maximum delay of
	// batched updates on upstreams.
	tickInterval = 100 * time.Millisecond
)

// callLogInterval is the time between two log lines on served calls.
const callLogInterval = 10 * time.Second

// logCalls logs the number of served calls by method, so that the log shows which calls the
// voter spent CPU time on.
func (c *Control) logCalls(now time.Time) {
	if now.Sub(c.callsLogged) < callLogInterval {
		return
	}
	c.callsLogged = now
	args := []any{}
	for _, name := range slices.Sorted(maps.Keys(c.server.Calls())) {
		if n := c.server.Calls()[name]; n > 0 {
			args = append(args, strings.ReplaceAll(name, ".", ""), n)
		}
	}
	c.log.Info("calls", append(args, "Unsent", c.server.Unsent())...)
}

// firstStateLogInterval is the minimum time between two log lines on responses with all upstreams.
const firstStateLogInterval = time.Second

// logFirstStates logs the responses with all upstreams since the last such line, if there were any.
func (c *Control) logFirstStates(now time.Time) {
	responses, bytes, busy := c.feed.FirstStates()
	if responses+busy == c.firstStates.responses+c.firstStates.busy || now.Sub(c.firstStates.at) < firstStateLogInterval {
		return
	}
	c.log.Info("first states sent", "Responses", responses-c.firstStates.responses, "Bytes", bytes-c.firstStates.bytes,
		"Busy", busy-c.firstStates.busy, "Unsent", c.server.Unsent())
	c.firstStates = firstStatesLogged{at: now, responses: responses, bytes: bytes, busy: busy}
}

// runTicker expires announcements and publishes batched updates.
func (c *Control) runTicker(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.feed.SetVoters(c.voter.Members())
			now := c.settings.Clock()
			c.feed.Tick(now)
			c.logCalls(now)
			c.logFirstStates(now)
		}
	}
}

// saveUpstreams saves this voter's upstreams and those of the other voters when they change,
// so that balancers have upstreams after all voters restart at once. It runs in its own
// goroutine, because a hanging disk must not delay updates to balancers. In a large fleet,
// this voter's own upstreams are few: their separate file is written often, and is recent
// after a site-wide power loss.
func (c *Control) saveUpstreams(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	own := fileState{file: upstreamsFile}
	remote := fileState{file: remoteUpstreamsFile}
	shared := fileState{file: claimsFile, version: c.feed.Claims().Digest()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := c.settings.Clock()
		if own.due(now, c.feed.Version()) {
			notices, version := c.feed.Notices(now)
			c.save(now, &own, notices, version)
		}
		if version := c.remoteUpstreams.currentVersion(); remote.due(now, version) {
			local, _ := c.feed.Notices(now)
			c.save(now, &remote, c.remoteUpstreams.missingFrom(now, local), version)
		}
		if all := c.feed.Claims(); shared.due(now, all.Digest()) {
			shared.nextSave = now.Add(saveInterval)
			shared.saved(c.log, all.Digest(), c.writeFile(claimsFile, all.All()))
		}
	}
}

// fileState tracks the writes of a file of upstreams.
type fileState struct {
	file string
	// version is the version written last, nextSave the earliest time of the next write.
	version  uint64
	nextSave time.Time
	failing  bool
}

func (s *fileState) due(now time.Time, version uint64) bool {
	return !now.Before(s.nextSave) && version != s.version
}

// save writes a file of upstreams.
func (c *Control) save(now time.Time, s *fileState, notices []directory.Notice, version uint64) {
	s.nextSave = now.Add(saveInterval + time.Duration(len(notices))*saveIntervalPerUpstream)
	s.saved(c.log, version, c.writeFile(s.file, notices))
}

// saved records the result of a write; it logs the first of consecutive failures.
func (s *fileState) saved(log hclog.Logger, version uint64, err error) {
	if err == nil {
		s.version = version
	} else if !s.failing {
		log.Warn("failed to save state", "File", s.file, "Error", err)
	}
	s.failing = err != nil
}

// writeFile replaces a file of saved state.
func (c *Control) writeFile(file string, content any) error {
	b, err := cbor.Marshal(content)
	if err != nil {
		return fmt.Errorf("encode %s: %w", file, err)
	}
	return folder.Replace(c.folder, file, b)
}

// restoreUpstreams loads the upstreams that were saved before the restart, except silent and
// replaced ones. This voter's own upstreams count as announced now and expire like any other
// upstream. The upstreams of other voters are added as restored (see directory.Restore).
func (c *Control) restoreUpstreams() {
	now := c.settings.Clock()
	for _, file := range []string{upstreamsFile, remoteUpstreamsFile} {
		var notices []directory.Notice
		if err := c.readFile(file, &notices); err != nil {
			c.log.Warn("failed to load saved upstreams", "File", file, "Error", err)
			continue
		}
		for _, n := range notices {
			c.restore(now, n)
		}
		c.log.Info("upstreams restored", "File", file, "Count", len(notices))
	}
	c.feed.MarkEstablished()
}

func (c *Control) restore(now time.Time, n directory.Notice) {
	switch {
	case n.Silent || n.Replaced:
	case n.Recalled:
		c.feed.Restore(now, n.Upstream, n.Cold)
	default:
		c.feed.Announce(now, n.Upstream, n.Cold)
	}
}

// restoreClaims loads the claims on shared cookies that were saved before the restart.
func (c *Control) restoreClaims() {
	var all []claims.Claim
	if err := c.readFile(claimsFile, &all); err != nil {
		c.log.Warn("failed to load saved claims on cookies", "Error", err)
		return
	}
	c.feed.MergeClaims(all)
}

// readFile decodes a file of saved state into a value, which stays unchanged if the file does not exist.
func (c *Control) readFile(file string, into any) error {
	b, err := c.folder.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read %s: %w", file, err)
	}
	if err := cbor.Unmarshal(b, into); err != nil {
		return fmt.Errorf("decode %s: %w", file, err)
	}
	return nil
}
