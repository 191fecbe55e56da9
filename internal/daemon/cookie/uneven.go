package cookie

import (
	"fmt"
	"math"
	"time"

	"wasabideal/internal/cookie/mechanism"
	"wasabideal/internal/cookie/router"
)

// maxWeightLines bounds the log lines on weights of upstreams in a second.
const maxWeightLines = 20

// uneven reports whether short answers are counted and the voters' verdicts on them used.
func (s Settings) uneven() bool {
	return s.SharedLoad && s.UnevenUpstreams && !s.Off.Has(mechanism.Uneven)
}

// updateUneven reports the counts of answers, and applies the voters' verdicts. The caller holds the
// lock.
func (b *Balancer) updateUneven(now time.Time) {
	if !b.settings.uneven() {
		return
	}
	if answers := b.router.Answers(now); len(answers) > 0 {
		b.follower.ReportAnswers(now, answers)
	}
	all, revision := b.follower.Reduced(now)
	changed := revision != b.verdictsApplied
	b.verdictsApplied = revision
	if changed && b.fanout != nil {
		b.fanout.relay.NotifySuspicions()
	}
	if !changed && len(all) == 0 {
		return
	}
	// Verdicts are applied again without a change too: upstreams appear and zones change their size.
	for _, c := range b.router.SetReduced(all) {
		b.recordWeightChange(now, c)
	}
}

func (b *Balancer) recordWeightChange(now time.Time, c router.WeightChange) {
	message := "upstream weight restored"
	if c.Before == 0 {
		b.counts.uneven.Inc(1)
	}
	if c.Halvings > c.Before {
		message = "upstream weight reduced"
	} else if c.Halvings > 0 {
		// One of up to four steps back to full weight.
		return
	}
	suppressed, ok := b.weightLog.Allow(now)
	if !ok {
		return
	}
	b.log.Info(message, "Incarnation", fmt.Sprintf("%x", c.Incarnation), "Service", c.Service, "Zone", c.Zone,
		"Weight", math.Exp2(-float64(c.Halvings)), "Answers", c.Total, "Short", c.Short,
		"OthersShare", float64(c.OthersPermille)/1000, "Suppressed", suppressed)
}
