package cookie

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"wasabideal/internal/cookie/follower"
	"wasabideal/internal/cookie/router"
	"wasabideal/internal/metric/latency"
	"wasabideal/internal/metric/text"
)

// counts holds the balancer's metrics.
type counts struct {
	registry         metrics.Registry
	decisions        [router.Stray + 1]metrics.Counter
	flowsReset       [router.Stray + 1]metrics.Counter
	malformed        metrics.Counter
	sendErrors       metrics.Counter
	suspicions       metrics.Counter
	zonesRefused     metrics.Counter
	unresponsive     metrics.Counter
	reportedEvents   metrics.Counter
	rejectedUse      metrics.Counter
	flowsSpilled     metrics.Counter
	answersShort     metrics.Counter
	uneven           metrics.Counter
	opened, answered latency.Latency
	// loadReportsDropped counts reports and answers that are stale, undecodable or not expected.
	loadReportsSent, loadReportsReceived, loadReportsDropped metrics.Counter
}

func newCounts() *counts {
	r := metrics.NewRegistry()
	c := &counts{
		registry:       r,
		malformed:      metrics.NewRegisteredCounter("DatagramsMalformedTotal", r),
		sendErrors:     metrics.NewRegisteredCounter("SendErrorsTotal", r),
		suspicions:     metrics.NewRegisteredCounter("SuspicionsTotal", r),
		zonesRefused:   metrics.NewRegisteredCounter("ZonesRefusedTotal", r),
		unresponsive:   metrics.NewRegisteredCounter("UnresponsiveTotal", r),
		reportedEvents: metrics.NewRegisteredCounter("SilenceReportedTotal", r),
		rejectedUse:    metrics.NewCounter(),
		flowsSpilled:   metrics.NewCounter(),
		answersShort:   metrics.NewCounter(),
		uneven:         metrics.NewCounter(),
		opened:         latency.New("Opening", r),
		answered:       latency.New("Answer", r),

		loadReportsSent:     metrics.NewCounter(),
		loadReportsReceived: metrics.NewCounter(),
		loadReportsDropped:  metrics.NewCounter(),
	}
	for reason := router.Known; reason <= router.Stray; reason++ {
		c.decisions[reason] = metrics.NewRegisteredCounter("Packets"+reason.String()+"Total", r)
		c.flowsReset[reason] = metrics.NewRegisteredCounter("FlowsReset"+reason.String()+"Total", r)
	}
	return c
}

// registerSharedLoad adds the metrics of shared load, and of uneven upstreams if these are detected, to
// the page. Without shared load the page has none of them.
func (c *counts) registerSharedLoad(uneven bool) {
	all := map[string]metrics.Counter{
		"FlowsRejectedUseTotal": c.rejectedUse, "FlowsSpilledTotal": c.flowsSpilled, "LoadReportsSentTotal": c.loadReportsSent,
		"LoadReportsReceivedTotal": c.loadReportsReceived, "LoadReportsDroppedTotal": c.loadReportsDropped,
	}
	if uneven {
		all["AnswersShortTotal"], all["UnevenUpstreamsTotal"] = c.answersShort, c.uneven
	}
	for name, m := range all {
		c.registry.GetOrRegister(name, m)
	}
}

// ServeMetrics writes the metrics as text.
func (b *Balancer) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	set := func(name string, v int) { metrics.GetOrRegisterGauge(name, b.counts.registry).Update(int64(v)) }
	set("Revision", int(b.router.Revision()))
	set("Flows", b.router.Flows())
	if b.settings.uneven() {
		set("UpstreamsReduced", b.router.Reduced())
	}
	set("CookiesShared", b.router.SharedCookies())
	set("CookieClaims", b.router.Claims().Len())
	set("UpstreamsWithoutCookie", b.router.WithoutCookie())
	set("EvacuationsRevision", int(b.evacuations.Revision))
	set("ZonesEvacuated", len(b.evacuations.EvacuatedZones()))
	if b.uploads != nil {
		set("Uploads", b.uploads.link.Active(b.settings.Clock()))
	}
	b.setLinkMetrics(set)
	b.mu.Unlock()
	s := b.FollowerStatus()
	b.setFanoutMetrics(set, s)
	setLagMetrics(set, s)
	if b.load != nil {
		age, balancers := b.load.state(b.settings.Clock())
		set("LoadAgeMilliseconds", int(age.Milliseconds()))
		set("LoadBalancers", balancers)
	}
	if err := text.New(b.counts.registry, "wasabideal").Print(w); err != nil {
		b.log.Warn("failed to write metrics", "Error", err)
	}
}

// setLagMetrics sets the gauges that tell how far the configuration in force is behind the newest announced one.
func setLagMetrics(set func(name string, v int), s follower.Status) {
	set("RevisionAnnounced", int(s.Announced))
	set("ConfigurationBehindMilliseconds", int(s.Behind.Milliseconds()))
	set("ConfigurationFetchesFailed", s.FetchesFailed)
}

// setFanoutMetrics sets the gauges of the tree: the balancer's level, its followers and
// the age of its state.
func (b *Balancer) setFanoutMetrics(set func(name string, v int), s follower.Status) {
	if b.fanout == nil {
		return
	}
	set("FanoutLevel", s.Level)
	set("FanoutFollowers", b.fanout.relay.Followers())
	set("FanoutFollowersAll", s.Followers)
	set("FanoutBalancers", s.Balancers)
	set("FanoutVotersFresh", s.Fresh)
	set("FanoutAgeMilliseconds", int(s.Age.Milliseconds()))
}
