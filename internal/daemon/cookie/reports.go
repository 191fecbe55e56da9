package cookie

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/cookie/router"
)

const (
	// reportEvery is the time between two summaries of what was not forwarded.
	reportEvery = time.Second
	// placedMost and turnedMost bound the single decisions that are logged in
	// that time, for flows that were placed and for packets that were not
	// forwarded, so that a storm of packets cannot fill the log or delay packets;
	// resetsMost bounds those on flows that are reset though they may be open.
	placedMost = 40
	turnedMost = 40
	resetsMost = 40
)

// reports logs decisions one by one up to a bound, and counts the rest.
type reports struct {
	since          time.Time
	placed, turned int
	resets         int
	counts         map[router.Reason]int
	bad            int
	badError       error
	sendLost       int
	sendErr        error
}

// note logs a decision on an opening, or one that did not forward a packet.
func (r *reports) note(log hclog.Logger, p router.Packet, v router.Verdict) {
	if v.Reason == router.Known {
		return
	}
	if r.counts == nil {
		r.counts = map[router.Reason]int{}
	}
	r.counts[v.Reason]++
	if !r.take(v.Action) {
		return
	}
	args := []any{
		"Caller", p.Caller.String(), "Address", p.Address.String(), "Copy", p.Copy, "Waited", p.Waited.String(), "Action", v.Action.String(),
		"Reason", v.Reason.String(), "Cookie", p.Cookie, "Revision", v.Revision,
	}
	if v.Incarnation != 0 {
		args = append(args, "Incarnation", fmt.Sprintf("%x", v.Incarnation), "Sequence", v.Sequence)
	}
	if v.Reason == router.Overloaded {
		args = append(args, "Predicted", v.Predicted.String(), "UnderWay", v.UnderWay, "Limit", v.Limit)
	}
	if v.Action == router.Forward {
		args = append(args, "To", v.To.String(), "Live", v.Live)
	}
	log.Info("flow", args...)
}

// reset logs the reset of a flow that may be open: whether it was right can be told from the
// evidence only.
func (r *reports) reset(now time.Time, log hclog.Logger, x router.FlowReset) {
	r.resets++
	if r.resets > resetsMost {
		return
	}
	args := []any{
		"Caller", x.Flow.Caller.String(), "Address", x.Flow.Address.String(), "Reason", x.Reason.String(),
		"Incarnation", fmt.Sprintf("%x", x.Incarnation), "Born", x.Born, "Live", x.Live, "Handshake", x.Handshake,
		"EvidenceAge", now.Sub(x.Evidence).String(), "Voter", x.Voter,
	}
	if !x.Opened.IsZero() {
		args = append(args, "OpenedHere", x.Opened.UTC().Format(time.RFC3339Nano))
	}
	log.Info("open flow reset", args...)
}

// take takes one line of the budget, if one is left.
func (r *reports) take(a router.Action) bool {
	spent, most := &r.turned, turnedMost
	if a == router.Forward {
		spent, most = &r.placed, placedMost
	}
	if *spent >= most {
		return false
	}
	*spent++
	return true
}

func (r *reports) malformed(err error) {
	r.bad++
	r.badError = err
}

func (r *reports) lost(err error) {
	r.sendLost++
	r.sendErr = err
}

// flush logs the summary when it is due.
func (r *reports) flush(now time.Time, log hclog.Logger) {
	if now.Sub(r.since) < reportEvery {
		return
	}
	if len(r.counts) > 0 {
		args := make([]any, 0, 2*len(r.counts))
		for reason, n := range r.counts {
			args = append(args, reason.String(), n)
		}
		log.Info("decisions", args...)
	}
	if r.bad > 0 {
		log.Warn("datagrams malformed", "Count", r.bad, "Last", r.badError)
	}
	if r.resets > resetsMost {
		log.Warn("log lines on resets of open flows left out", "Count", r.resets-resetsMost)
	}
	if r.sendLost > 0 {
		log.Warn("datagrams not sent", "Count", r.sendLost, "Last", r.sendErr)
	}
	*r = reports{since: now}
}
