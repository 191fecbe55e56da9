package story

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/upstream"
)

// causes says in sentences what the lines mean together.
func causes(shown, asked []line, q Question) []string {
	switch {
	case q.Caller != "":
		return flowCauses(shown, asked)
	case q.Incarnation != "":
		return upstreamCauses(shown)
	default:
		return revisionCauses(shown, q.Revision)
	}
}

// meaning says what a decision on a packet means; see docs/OPERATIONS.md.
func meaning(l line) string {
	switch l.Reason {
	case router.Placed.String():
		return "placed at upstream " + l.Incarnation
	case router.Repeated.String():
		return "a copy of the opening went to the same upstream " + l.Incarnation + ": the first was not answered in time"
	case router.NoRoute.String():
		return fmt.Sprintf("reset: the configuration of revision %d has no such address", l.Revision)
	case router.NoUpstream.String():
		return fmt.Sprintf("no upstream of the service took flows under revision %d", l.Revision)
	case router.Busy.String():
		return "reset: the VM's link had as many uploads as it carries; the caller may come back"
	case router.Waiting.String():
		return "kept for a moment: the VM's link had as many uploads as it carries"
	case router.Overloaded.String():
		return "reset: the service answered later than the route's objective; the caller may come back"
	case router.Evacuated.String():
		return "reset: all upstreams of the service are in availability zones that operators evacuated"
	case router.Cold.String():
		return "not placed: the upstreams of the service had just started and bore no further flow from this balancer"
	case router.Unresponsive.String():
		return "reset: balancers together found the flow's upstream silent; the caller may ask again"
	case router.Ended.String():
		return "reset: the flow's upstream " + l.Incarnation + " is gone"
	case router.Unconfigured.String():
		return "not placed: the balancer had no configuration yet"
	case router.UnknownCookie.String():
		return "not forwarded: the balancer did not know the flow's upstream yet"
	case router.Stray.String():
		return "dropped: the packet belongs to no flow and asks for none"
	default:
		return l.Action + ": " + l.Reason
	}
}

func flowCauses(shown, asked []line) []string {
	out := lo.Map(asked, func(l line, _ int) string {
		return fmt.Sprintf("%s at %s: %s", l.At.Format(timeFormat), l.Process, meaning(l))
	})
	last := asked[len(asked)-1]
	first, _ := lo.Find(asked, func(l line) bool { return l.Incarnation == last.Incarnation })
	return append(out, afterwards(shown, first)...)
}

// afterwards says what became of the upstream that a flow was sent to.
func afterwards(shown []line, placed line) []string {
	if placed.Incarnation == "" || placed.Reason == router.Ended.String() {
		return nil
	}
	for _, l := range shown {
		if l.Incarnation != placed.Incarnation || l.At.Before(placed.At) || l.At.Sub(placed.At) > around {
			continue
		}
		switch {
		case l.Message == messageSuspected:
			return []string{fmt.Sprintf("%s at %s: the upstream left a packet unanswered; it fell silent before",
				l.At.Format(timeFormat), l.Process)}
		case l.Message == messageAnnounced && l.State != upstream.Ready.String():
			return []string{fmt.Sprintf("%s at %s: the upstream said that it is %s", l.At.Format(timeFormat), l.Process, l.State)}
		}
	}
	return []string{"nothing here says that the upstream failed after that; look at its own log"}
}

func upstreamCauses(shown []line) []string {
	announced := lo.Filter(shown, func(l line, _ int) bool { return l.Message == messageAnnounced })
	suspected := lo.Filter(shown, func(l line, _ int) bool { return l.Message == messageSuspected })
	var out []string
	if len(announced) > 0 {
		last := announced[len(announced)-1]
		out = append(out, fmt.Sprintf("last told of as %s at %s by %s", last.State, last.At.Format(timeFormat), last.Process))
	}
	if len(suspected) > 0 {
		out = append(out, fmt.Sprintf("left packets unanswered %d times, first at %s", len(suspected), suspected[0].At.Format(timeFormat)))
	}
	return out
}

func revisionCauses(shown []line, revision uint64) []string {
	of := func(message string) []line {
		return lo.Filter(shown, func(l line, _ int) bool { return l.Message == message && l.Revision == revision })
	}
	var out []string
	applied, acknowledged, held := of(messageApplied), of(messageAcknowledged), of(messageInForce)
	if len(applied) > 0 {
		out = append(out, fmt.Sprintf("accepted: applied first at %s by %s, by %d voters in all",
			applied[0].At.Format(timeFormat), applied[0].Process, len(applied)))
	} else {
		out = append(out, "no voter applied it: it was not accepted, or overtaken by a higher revision")
	}
	if len(acknowledged) > 0 {
		out = append(out, fmt.Sprintf("acknowledged at %s by %s", acknowledged[0].At.Format(timeFormat), acknowledged[0].Process))
	} else {
		out = append(out, "no voter acknowledged it")
	}
	if len(held) == 0 {
		return append(out, "no balancer put it in force; a higher revision may have come first")
	}
	since := held[len(held)-1].At.Sub(held[0].At)
	if len(acknowledged) > 0 {
		since = held[len(held)-1].At.Sub(acknowledged[0].At)
	}
	return append(out, fmt.Sprintf("in force at %d balancers, the last %s after that, at %s", len(held),
		since.Round(time.Millisecond), held[len(held)-1].Process))
}
