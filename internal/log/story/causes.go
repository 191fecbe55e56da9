package story

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
)

// summarize explains the lines in sentences.
func summarize(shown, matched []line, q Query) []string {
	switch {
	case q.Caller != "":
		return summarizeFlow(shown, matched)
	case q.Incarnation != "":
		return summarizeUpstream(shown)
	default:
		return summarizeRevision(shown, q.Revision)
	}
}

// describeDecision explains the decision on a packet; see docs/OPERATIONS.md.
func describeDecision(l line) string {
	switch l.Reason {
	case router.Placed.String():
		return "placed at upstream " + l.Incarnation + describeSpill(l)
	case router.Repeated.String():
		return "the first packet of the flow was sent again to the same upstream " + l.Incarnation + ": it got no response in time"
	case router.NoRoute.String():
		return fmt.Sprintf("reset: the configuration of revision %d has no route for this address", l.Revision)
	case router.NoUpstream.String():
		return fmt.Sprintf("no upstream of the service accepted flows under revision %d", l.Revision)
	case router.Busy.String():
		if l.LinkDelay != "" {
			return fmt.Sprintf("%s: packets waited %s for the VM's link, too long for another flow; the caller may retry", rejection(l), l.LinkDelay)
		}
		return "reset: the number of uploads on the VM's link was at its limit; the caller may retry"
	case router.Waiting.String():
		return "buffered: the number of uploads on the VM's link was at its limit"
	case router.Overloaded.String():
		if l.SlotLimit > 0 {
			return fmt.Sprintf("%s: callers of all zones occupied %.2f times the slots of the service, and flows like this one are rejected in part below and all from %.2f on "+
				"(view %d, measured %s before); the caller may retry", rejection(l), l.Use, l.SlotLimit, l.LoadVersion, l.LoadAge)
		}
		return "reset: the response time of the service exceeded the route's objective; the caller may retry"
	case router.Evacuated.String():
		return "reset: all upstreams of the service are in evacuated availability zones"
	case router.Cold.String():
		return "not placed: the upstreams of the service had just started and accepted no more flows from this balancer"
	case router.Unresponsive.String():
		return "reset: several balancers found the flow's upstream unresponsive; the caller may retry"
	case router.Ended.String():
		return "reset: the flow's upstream " + l.Incarnation + " is gone"
	case router.Unconfigured.String():
		return "not placed: the balancer had no configuration yet"
	case router.UnknownCookie.String():
		return "not forwarded: the balancer did not know the flow's upstream yet"
	case router.Stray.String():
		return "dropped: the packet belongs to no flow and does not open one"
	default:
		return l.Action + ": " + l.Reason
	}
}

// rejection names how a flow was rejected. A copy of an opening is dropped, since another copy may have
// opened the flow.
func rejection(l line) string {
	if l.Action == router.Drop.String() {
		return "dropped"
	}
	return "reset"
}

// describeSpill tells why a flow was placed in another zone than its balancer's, if it was.
func describeSpill(l line) string {
	if l.Zone == "" {
		return ""
	}
	return fmt.Sprintf(" in zone %s: the balancer's own zone had too few free slots (view %d, measured %s before)", l.Zone, l.LoadVersion, l.LoadAge)
}

func summarizeFlow(shown, matched []line) []string {
	out := lo.Map(matched, func(l line, _ int) string {
		return fmt.Sprintf("%s at %s: %s", l.At.Format(timeFormat), l.Process, describeDecision(l))
	})
	latest := matched[len(matched)-1]
	first, _ := lo.Find(matched, func(l line) bool { return l.Incarnation == latest.Incarnation })
	return append(out, laterEvents(shown, first)...)
}

// laterEvents describes the first suspicion or departure of the upstream within contextWindow after a
// flow was placed.
func laterEvents(shown []line, placed line) []string {
	if placed.Incarnation == "" || placed.Reason == router.Ended.String() {
		return nil
	}
	for _, l := range shown {
		if l.Incarnation != placed.Incarnation || l.At.Before(placed.At) || l.At.Sub(placed.At) > contextWindow {
			continue
		}
		switch {
		case l.Message == messageSuspected:
			return []string{fmt.Sprintf("%s at %s: a packet to the upstream got no response, and the upstream was suspected",
				l.At.Format(timeFormat), l.Process)}
		case l.Message == messageAnnounced && l.State != upstream.Ready.String():
			return []string{fmt.Sprintf("%s at %s: the upstream announced the state %s", l.At.Format(timeFormat), l.Process, l.State)}
		}
	}
	return []string{"these logs show no later failure of the upstream; check its own log"}
}

func summarizeUpstream(shown []line) []string {
	announced := lo.Filter(shown, func(l line, _ int) bool { return l.Message == messageAnnounced })
	suspected := lo.Filter(shown, func(l line, _ int) bool { return l.Message == messageSuspected })
	var out []string
	if len(announced) > 0 {
		latest := announced[len(announced)-1]
		out = append(out, fmt.Sprintf("last announced as %s at %s by %s", latest.State, latest.At.Format(timeFormat), latest.Process))
	}
	if len(suspected) > 0 {
		out = append(out, fmt.Sprintf("did not respond to packets %d times, first at %s", len(suspected), suspected[0].At.Format(timeFormat)))
	}
	return out
}

func summarizeRevision(shown []line, revision uint64) []string {
	of := func(message string) []line {
		return lo.Filter(shown, func(l line, _ int) bool { return l.Message == message && l.Revision == revision })
	}
	var out []string
	applied, acknowledged, inForce := of(messageApplied), of(messageAcknowledged), of(messageInForce)
	if len(applied) > 0 {
		out = append(out, fmt.Sprintf("accepted: first applied at %s by %s, by %d voters in total",
			applied[0].At.Format(timeFormat), applied[0].Process, len(applied)))
	} else {
		out = append(out, "no voter applied it: it was not accepted or was superseded by a higher revision")
	}
	if len(acknowledged) > 0 {
		out = append(out, fmt.Sprintf("acknowledged at %s by %s", acknowledged[0].At.Format(timeFormat), acknowledged[0].Process))
	} else {
		out = append(out, "no voter acknowledged it")
	}
	if len(inForce) == 0 {
		return append(out, "not in force at any balancer; a higher revision may have superseded it")
	}
	since := inForce[len(inForce)-1].At.Sub(inForce[0].At)
	if len(acknowledged) > 0 {
		since = inForce[len(inForce)-1].At.Sub(acknowledged[0].At)
	}
	return append(out, fmt.Sprintf("in force at %d balancers, the last one %s later, at %s", len(inForce),
		since.Round(time.Millisecond), inForce[len(inForce)-1].Process))
}
