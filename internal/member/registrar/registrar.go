package registrar

import (
	"context"
	"time"

	"wasabideal/internal/control/rostermanager"
	"wasabideal/internal/control/voter"
	"wasabideal/internal/wire/pool"
)

const callTimeout = time.Second

type empty struct{}

// Registrar reports a balancer to the leader of the voters.
type Registrar struct {
	voters   []string
	interval time.Duration
	pool     *pool.Pool
	report   func() rostermanager.Report
	// leader is the index of the voter that accepted the last report.
	leader int
}

// New returns a Registrar; report returns the current report to send.
func New(voters []string, interval time.Duration, p *pool.Pool, report func() rostermanager.Report) *Registrar {
	return &Registrar{voters: voters, interval: interval, pool: p, report: report}
}

// Run sends a report at a fixed interval until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(r.interval)
	defer t.Stop()
	for {
		r.register(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// register sends a report to the last known leader, then to the other voters until
// a voter accepts the report.
func (r *Registrar) register(ctx context.Context) {
	report := r.report()
	for i := range r.voters {
		candidate := (r.leader + i) % len(r.voters)
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := pool.Call[rostermanager.Report, empty](call, r.pool, r.voters[candidate], voter.ReportMethod, report)
		cancel()
		if err == nil {
			r.leader = candidate
			return
		}
	}
}
