package follower

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/lo"

	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/fanout/bootstrap"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/membership"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/selection"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/silence/evaluators"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/verdicts"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/wire/pool"
	"wasabideal/internal/wire/rpc"
)

const (
	// voterHold is how long a voter may hold a long poll when nothing has changed. Together with
	// voterGrace it is the time to detect a dead connection.
	voterHold = 800 * time.Millisecond
	// voterGrace is the time beyond voterHold after which a poll times out. It covers several round
	// trips to the farthest zone and the scheduling delay of a slow voter.
	voterGrace = 700 * time.Millisecond
	// voterExpiry is how long a failing voter is still polled once no source lists it any more.
	voterExpiry = 30 * time.Second
	// maxLocalVoters is how many voters of the balancer's zone are polled in addition to the seeds
	// while a subset of the voters is enough.
	maxLocalVoters = 2
	// reconcileInterval is the interval at which the sources are re-evaluated without an event.
	reconcileInterval = 100 * time.Millisecond
)

// ContactLease is how long a voter's report of which upstreams are alive remains valid: the time of
// two polls without a response.
const ContactLease = 2 * (voterHold + voterGrace)

// Handler receives the responses of the sources and returns the state in force. OnVoterState is
// called by one goroutine at a time, the other methods by several goroutines concurrently.
type Handler interface {
	// Configuration returns the configuration in force.
	Configuration() configuration.Configuration
	// HasUpstreams reports whether any upstreams are known.
	HasUpstreams() bool
	// OnConfiguration receives a configuration from the voter or balancer at an address.
	OnConfiguration(address string, c configuration.Configuration)
	// OnVoterState receives the state that a voter sent.
	OnVoterState(now time.Time, x origins.Update)
	// Evacuations returns the evacuation orders in force. OnEvacuations receives the orders that
	// the voter or balancer at an address sent. OnEvacuations is called before the rest of a
	// response is applied, so that no flow is placed on an upstream that the response adds in an
	// evacuated zone.
	Evacuations() evacuation.Evacuations
	OnEvacuations(address string, e evacuation.Evacuations)
	// Claims returns the known claims on shared cookies. OnClaims receives those that the voter or
	// balancer at an address sent, also before the rest of a response is applied.
	Claims() claims.Set
	OnClaims(address string, all []claims.Claim)
	// OnRecent receives the upstreams that a source has known for less than allocation.MaxSettling, before
	// the state that the source sent with them.
	OnRecent(all recent.Set)
}

// Settings configures a follower.
type Settings struct {
	Token string
	// From identifies the balancer to voters; it is empty if the follower runs in a voter.
	From  string
	Clock func() time.Time
	// Self is this balancer as reported to its sources. If it has no address, only voters are polled.
	Self member.Member
	// Shape is the shape of the zone's fan-out tree.
	Shape tree.Shape
	// StaleAfter is the maximum age of a voter's state, relayed by a parent, that still counts as
	// fresh.
	StaleAfter time.Duration
	// Uneven requests the voters' verdicts on upstreams that answer more requests shortly than others.
	Uneven bool
	// Traffic counts the bytes of RPC connections; it may be nil.
	Traffic *rpc.Traffic
}

// Follower polls the voters, or a parent balancer that relays their state.
type Follower struct {
	settings Settings
	log      hclog.Logger
	handler  Handler
	// applying serializes the application of voter states from several sources.
	applying sync.Mutex
	mu       sync.Mutex
	ctx      context.Context
	started  time.Time
	// polled holds the polled sources by address.
	polled map[string]*source
	// voterSeen maps each known voter to the time when any source last listed it; seeds are the
	// voters from the settings.
	voterSeen map[string]time.Time
	seeds     map[string]bool
	origins   *origins.Origins
	// bootstrap decides which voter is polled first after the start.
	bootstrap bootstrap.Sequencer
	// selection is nil if only voters are polled.
	selection  *selection.Selection
	membership *membership.Membership
	// followers are the direct and indirect followers of this balancer.
	followers *members.Members
	fetcher   *fetcher
	verdicts  *verdicts.Set
	pool      *pool.Pool
	// running counts the follower's goroutines.
	running sync.WaitGroup
}

// source is a voter or balancer that is polled.
type source struct {
	// isVoter distinguishes voters from balancers.
	isVoter bool
	stop    context.CancelFunc
	// responsive reports whether the last poll was answered.
	responsive bool
	// balancers is the number of balancers, over all zones, that the source has reported.
	balancers int
	// claims is the digest of the claims that the source has, as of its last response.
	claims   uint64
	reporter *reporter
}

// New returns a follower; Start starts it.
func New(s Settings, h Handler, log hclog.Logger) *Follower {
	f := &Follower{
		settings: s, log: log, handler: h, polled: map[string]*source{}, voterSeen: map[string]time.Time{},
		origins: origins.New(), verdicts: verdicts.New(), membership: membership.New(), followers: members.New(), pool: pool.New(s.Token).CountTraffic(s.Traffic),
	}
	f.fetcher = newFetcher(s.Token, h, f.knownVoters, log)
	f.fetcher.traffic = s.Traffic
	f.fetcher.setClock(s.Clock)
	f.fetcher.responsive = f.responsiveVoters
	if s.Self.Address != "" {
		f.selection = selection.New(selection.Settings{
			Self: s.Self.Address, Shape: s.Shape, StaleAfter: s.StaleAfter, Jitter: jitter(s.Self.Address),
		})
	}
	return f
}

// Start starts polling and runs until ctx is done.
func (f *Follower) Start(ctx context.Context, voters []string) {
	f.ctx, f.started = ctx, f.settings.Clock()
	f.running.Add(2)
	go func() {
		defer f.running.Done()
		f.fetcher.run(ctx)
	}()
	go func() {
		defer f.running.Done()
		f.runReconciler()
	}()
	f.SetSeeds(voters)
}

// Wait blocks until all goroutines have ended.
func (f *Follower) Wait() {
	f.running.Wait()
	f.pool.Close()
}

// SetSeeds sets the voter addresses from the settings (the seeds).
func (f *Follower) SetSeeds(voters []string) {
	f.mu.Lock()
	f.seeds = lo.SliceToMap(voters, func(a string) (string, bool) { return a, true })
	f.mu.Unlock()
	f.addVoters(voters)
}

// addVoters records voter addresses that a source listed.
func (f *Follower) addVoters(voters []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.settings.Clock()
	for _, a := range voters {
		f.voterSeen[a] = now
	}
	f.reconcile(now)
}

func (f *Follower) runReconciler() {
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-t.C:
		}
		f.mu.Lock()
		now := f.settings.Clock()
		f.followers.Tick(now)
		if f.membership.Tick(now) {
			f.selection.UpdateZone(now, f.membership.Addresses())
		}
		f.reconcile(now)
		f.mu.Unlock()
		f.sendClaims(now)
		f.logLag(now)
	}
}

// logLag logs, at most once a second, that this process is behind the newest announced configuration,
// and what its polls and fetches came to.
func (f *Follower) logLag(now time.Time) {
	args, due := f.fetcher.lagReport(now)
	if !due {
		return
	}
	f.mu.Lock()
	args = append(args, "Polled", len(f.polled), "Answering", f.countAnsweringVoters(), "Bootstrapped", f.bootstrap.Done())
	if f.selection != nil {
		args = append(args, "Parent", f.selection.Parent(), "Level", f.selection.Level())
	}
	f.mu.Unlock()
	f.log.Warn("configuration is behind", args...)
}

// reconcile starts to poll newly selected sources and stops polling those no longer selected. The
// caller holds the lock.
func (f *Follower) reconcile(now time.Time) {
	if f.ctx == nil || f.ctx.Err() != nil {
		return
	}
	sources := f.selectSources(now)
	wanted := f.wantedSources(sources)
	for a := range f.voterSeen {
		if !wanted[a] {
			f.expireVoter(now, a)
		}
	}
	for a, src := range f.polled {
		if !wanted[a] {
			src.stop()
			delete(f.polled, a)
			f.membership.RemoveSource(now, a)
		}
	}
	for a := range wanted {
		if f.polled[a] == nil {
			_, isVoter := f.voterSeen[a]
			f.startPolling(a, isVoter)
		}
	}
}

// wantedSources returns the addresses to poll.
func (f *Follower) wantedSources(s selection.Sources) map[string]bool {
	out := map[string]bool{}
	for _, a := range s.Parents {
		out[a] = true
	}
	if !s.Voters {
		return out
	}
	if first := f.startupSeed(); s.SingleVoter && first != "" {
		out[first] = true
		return out
	}
	subset := f.voterSubset()
	for a := range f.voterSeen {
		if !s.VoterSubset || subset[a] || len(subset) == 0 {
			out[a] = true
		}
	}
	return out
}

// voterSubset returns the voters that suffice for a limited time: the seeds, and some voters of the
// balancer's zone. The latter stay reachable if the zone is partitioned. Until a voter has sent a state,
// the zones of the others are not known, and some of these relieve busy seeds.
func (f *Follower) voterSubset() map[string]bool {
	out := map[string]bool{}
	maps.Copy(out, f.seeds)
	local := lo.Filter(lo.Keys(f.voterSeen), func(a string, _ int) bool {
		zone := f.origins.Zone(a)
		return !f.seeds[a] && (zone == f.settings.Self.Zone || zone == "" && !f.bootstrap.Done())
	})
	slices.SortFunc(local, func(a, b string) int {
		return cmp.Compare(hash(a+f.settings.From), hash(b+f.settings.From))
	})
	for _, a := range local[:min(len(local), maxLocalVoters)] {
		out[a] = true
	}
	return out
}

// startupSeed returns the only seed to poll during startup. It returns "" until a voter has sent a
// complete state, and while no seed answers. The choice is hashed per balancer; without the hash,
// every balancer of a restarting fleet would hold connections to all voters.
func (f *Follower) startupSeed() string {
	chosen := ""
	if !f.bootstrap.Done() {
		return chosen
	}
	for a := range f.seeds {
		if src := f.polled[a]; src == nil || !src.responsive {
			continue
		}
		if chosen == "" || hash(a+f.settings.From) < hash(chosen+f.settings.From) {
			chosen = a
		}
	}
	return chosen
}

// selectSources returns the sources to poll and logs a change of parent.
func (f *Follower) selectSources(now time.Time) selection.Sources {
	if f.selection == nil {
		return selection.Sources{Voters: true}
	}
	f.selection.UpdateVoters(now, f.countAnsweringVoters(), len(f.voterSeen))
	f.selection.EvaluateProbe(now)
	if c, changed := f.selection.TakeChange(); changed {
		f.log.Info("follows", "Parent", c.Parent, "Reason", string(c.Reason), "Level", f.selection.Level(),
			"Balancers", len(f.membership.Members()), "FreshVoters", f.origins.CountFresh(now, f.settings.StaleAfter))
	}
	return f.selection.Decide(now)
}

// countAnsweringVoters returns how many voters answered their last poll.
func (f *Follower) countAnsweringVoters() int {
	return lo.CountBy(lo.Values(f.polled), func(src *source) bool { return src.isVoter && src.responsive })
}

// knownVoters returns the addresses of all known voters.
func (f *Follower) knownVoters() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Keys(f.voterSeen)
}

// responsiveVoters returns the voters with a contact, direct or relayed, within ContactLease.
func (f *Follower) responsiveVoters() map[string]bool {
	return lo.SliceToMap(f.Voters(), func(v owner.Voter) (string, bool) { return v.Address, true })
}

// expireVoter removes a voter that no source has listed for voterExpiry.
func (f *Follower) expireVoter(now time.Time, voter string) {
	if now.Sub(f.voterSeen[voter]) >= voterExpiry {
		delete(f.voterSeen, voter)
		f.origins.Forget(voter)
	}
}

// startPolling starts polling a source. The caller holds the lock.
func (f *Follower) startPolling(address string, isVoter bool) {
	ctx, cancel := context.WithCancel(f.ctx)
	src := &source{isVoter: isVoter, stop: cancel}
	src.reporter = &reporter{
		traffic: f.settings.Traffic,
		token:   f.settings.Token, to: address, clock: f.settings.Clock, log: f.log, wake: make(chan struct{}, 1),
		followerReport: func() []members.Heartbeat { return f.followerReport(address) },
	}
	f.polled[address] = src
	f.running.Add(2)
	go func() {
		defer f.running.Done()
		src.reporter.run(ctx)
	}()
	go func() {
		defer f.running.Done()
		defer cancel()
		if isVoter {
			f.pollVoter(ctx, address, src)
		} else {
			f.pollParent(ctx, address)
		}
	}()
}

// reportTargets returns the addresses that receive reports from this balancer: its parent, or the
// voters that answer. The caller holds the lock.
func (f *Follower) reportTargets() []string {
	if f.selection != nil && f.selection.Parent() != "" {
		return []string{f.selection.Parent()}
	}
	var out []string
	for a, src := range f.polled {
		if src.isVoter && src.responsive {
			out = append(out, a)
		}
	}
	return out
}

// Report reports unanswered packets and answers that this balancer observed.
func (f *Follower) Report(events []evidence.Event) {
	f.Forward(evidence.Report{From: f.settings.From, Events: events})
}

// Forward forwards a follower's report. Each voter receives only the evidence that it evaluates.
func (f *Follower) Forward(r evidence.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	targets := f.reportTargets()
	shares := evaluators.Assign(targets, r.Events)
	for _, a := range targets {
		if src := f.polled[a]; src != nil && len(shares[a]) > 0 {
			src.reporter.enqueue(r.From, shares[a])
		}
	}
	answers := evaluators.AssignAnswers(targets, r.Answers)
	for _, a := range targets {
		if src := f.polled[a]; src != nil && len(answers[a]) > 0 {
			src.reporter.enqueueAnswers(evidence.Report{From: r.From, Batch: r.Batch, Answers: answers[a]})
		}
	}
}

// ReportAnswers reports how many answers of upstreams were short.
func (f *Follower) ReportAnswers(now time.Time, answers []evidence.Answers) {
	f.Forward(evidence.Report{From: f.settings.From, Batch: uint64(now.UnixNano()), Answers: answers})
}

// Reduced returns the upstreams at reduced weight by the verdicts of all voters, and a revision that
// rises with each change.
func (f *Follower) Reduced(now time.Time) ([]evidence.Reduced, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.verdicts.Expire(now)
	return f.verdicts.All(), f.verdicts.Revision()
}

// Peers returns the addresses of the balancers in this balancer's zone, including this one once the
// sources list it.
func (f *Follower) Peers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membership.Addresses()
}

// Balancers returns the number of balancers in all zones, 0 if unknown. A restarted source needs
// some seconds to relearn the fleet, so the largest count of any source is used.
func (f *Follower) Balancers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleetSize()
}

func (f *Follower) fleetSize() int {
	most := 0
	for _, src := range f.polled {
		most = max(most, src.balancers)
	}
	return most
}

// setFleetSize records how many balancers a source reported.
func (f *Follower) setFleetSize(address string, balancers int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if src := f.polled[address]; src != nil {
		src.balancers = balancers
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// jitter returns a value in [0, 1) derived from the balancer's address.
func jitter(address string) float64 { return float64(hash(address)%1000) / 1000 }
