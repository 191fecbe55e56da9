package cookie

import (
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/cookie/router"
)

const (
	// summaryInterval is the time between two summaries of decisions.
	summaryInterval = time.Second
	// maxPlacedLines limits the lines per interval on flows that were placed,
	// maxUnforwardedLines the lines on packets that were not forwarded, and maxResetLines
	// the lines on resets of flows that may be open. Without limits, a burst of packets
	// could fill the log and delay packets.
	maxPlacedLines      = 40
	maxUnforwardedLines = 40
	maxResetLines       = 40
)

// decisionLog logs decisions one by one up to a limit per interval, and counts the rest.
type decisionLog struct {
	since               time.Time
	placed, unforwarded int
	resets              int
	counts              map[router.Reason]int
	malformedCount      int
	malformedError      error
	sendErrorCount      int
	sendError           error
}

// record counts a decision and logs it within the limit. Packets of known flows are skipped.
func (r *decisionLog) record(log hclog.Logger, p router.Packet, v router.Verdict) {
	if v.Reason == router.Known {
		return
	}
	if r.counts == nil {
		r.counts = map[router.Reason]int{}
	}
	r.counts[v.Reason]++
	if !r.allow(v.Action) {
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
	if v.SlotLimit > 0 {
		args = append(args, "Use", v.Use, "SlotLimit", v.SlotLimit)
	}
	if v.Zone != "" {
		args = append(args, "Zone", v.Zone)
	}
	if v.LoadVersion > 0 {
		args = append(args, "LoadVersion", v.LoadVersion, "LoadAge", v.LoadAge.String())
	}
	if v.LinkDelay > 0 {
		args = append(args, "LinkDelay", v.LinkDelay.String())
	}
	if v.Action == router.Forward {
		args = append(args, "To", v.To.String(), "Live", v.Live)
	}
	log.Info("flow", args...)
}

// reset logs the reset of a flow that may be open, with the evidence that shows afterwards
// whether the reset was justified.
func (r *decisionLog) reset(now time.Time, log hclog.Logger, x router.FlowReset) {
	r.resets++
	if r.resets > maxResetLines {
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

// allow consumes one line of the interval's limit and reports whether one was left.
func (r *decisionLog) allow(a router.Action) bool {
	spent, limit := &r.unforwarded, maxUnforwardedLines
	if a == router.Forward {
		spent, limit = &r.placed, maxPlacedLines
	}
	if *spent >= limit {
		return false
	}
	*spent++
	return true
}

func (r *decisionLog) malformed(err error) {
	r.malformedCount++
	r.malformedError = err
}

func (r *decisionLog) sendFailure(err error) {
	r.sendErrorCount++
	r.sendError = err
}

// flush logs the summary once summaryInterval has passed, and starts a new interval.
func (r *decisionLog) flush(now time.Time, log hclog.Logger) {
	if now.Sub(r.since) < summaryInterval {
		return
	}
	if len(r.counts) > 0 {
		args := make([]any, 0, 2*len(r.counts))
		for reason, n := range r.counts {
			args = append(args, reason.String(), n)
		}
		log.Info("decisions", args...)
	}
	if r.malformedCount > 0 {
		log.Warn("malformed datagrams received", "Count", r.malformedCount, "Last", r.malformedError)
	}
	if r.resets > maxResetLines {
		log.Warn("log lines on resets of open flows suppressed", "Count", r.resets-maxResetLines)
	}
	if r.sendErrorCount > 0 {
		log.Warn("failed to send datagrams", "Count", r.sendErrorCount, "Last", r.sendError)
	}
	*r = decisionLog{since: now}
}
