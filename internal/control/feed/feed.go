package feed

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"golang.org/x/sync/semaphore"

	"wasabideal/internal/configuration/history"
	"wasabideal/internal/cookie/claims"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/members"
	"wasabideal/internal/fanout/pacing"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/silence/accrual"
	"wasabideal/internal/silence/confirmation"
	"wasabideal/internal/silence/evidence"
	"wasabideal/internal/silence/uneven"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/recent"
	"wasabideal/internal/wire/rpc"
)

// Names of the RPC methods that balancers call.
const (
	// SinceMethod long-polls for updates.
	SinceMethod = "Feed.Since"
	// ConfigurationMethod fetches the changes from a held revision to the newest.
	ConfigurationMethod = "Feed.Configuration"
)

// minWakeInterval is the minimum time between two responses with changes of upstreams. While
// thousands of upstreams are replaced in turn, one response per change and balancer would take
// most of a voter's CPU time; a delay of 100 ms does not affect callers.
const minWakeInterval = 100 * time.Millisecond

// maxResponsesPerSecond bounds the responses with changes of upstreams: the more balancers poll, the
// longer changes are batched. At 200 responses per second, the 20 balancers that
// poll one voter in a fleet of 300 balancers took a quarter of the voter's CPU time while upstreams
// changed.
const maxResponsesPerSecond = 100

// maxInlineConfiguration is the maximum size in bytes of an encoded configuration that is sent
// together with other updates; a configuration of about 600 routes has that size. By calculation,
// compression halves the size, and the transfer on a link of 2 Mbit/s takes 50 ms, the same as a
// separate call. Only one voter at a time sends it to a starting balancer in a tree, which polls one
// voter at a time.
const maxInlineConfiguration = 24 << 10

// maxDeltas is the number of missed changes up to which a balancer receives deltas. A balancer that
// missed more changes receives the whole configuration, which is then smaller than the
// deltas.
const maxDeltas = 64

// Request is a long-poll request of a balancer.
type Request struct {
	// Revision is the newest configuration revision known to the balancer.
	Revision uint64
	// Life and Version identify the state of the voter's directory that the balancer
	// received last.
	Life, Version uint64
	// Recalled also requests restored upstreams: those loaded from the voter's saved state that
	// have not announced themselves to the voter since its restart. A starting balancer
	// needs them from one voter only. If every voter sent restored upstreams, the links of a
	// fleet of hundreds would be saturated.
	Recalled bool
	// Hold is how long the response may wait for updates.
	Hold time.Duration
	// Encoded allows Response.Encoded in place of Response.Notices.
	Encoded bool
	// Unconfigured requests the configuration in the same response. A starting balancer cannot
	// place flows without it, and a second call takes 40 ms while many balancers start.
	Unconfigured bool
	// From is the name of the polling balancer, empty for voters.
	From string
	// Doubts is the DoubtsVersion that the balancer received last.
	Doubts uint64
	// Self describes the polling balancer if other balancers may follow it.
	Self *member.Member `cbor:",omitempty"`
	// Fleet is the FleetVersion that the balancer received last in this Life.
	Fleet uint64
	// Passing is the number of relay hops from this balancer to the lowest level of its
	// zone's tree.
	Passing int
	// Evacuations is the revision of the evacuation orders that the balancer holds.
	Evacuations uint64
	// Uneven is the UnevenVersion that the balancer received last, nil if it requests no verdicts. A
	// voter that does not know the field ignores it.
	Uneven *uint64 `cbor:",omitempty"`
	// AcceptsBusy allows Response.Busy, and AcceptsPacked Response.Packed in place of Response.Encoded
	// and Response.Elsewhere. Balancers of earlier versions set neither.
	AcceptsBusy   bool `cbor:",omitempty"`
	AcceptsPacked bool `cbor:",omitempty"`
	// Claims is the ClaimsDigest that the balancer received last, nil if it knows no claims: earlier versions
	// would be answered at once each time they poll.
	Claims *uint64 `cbor:",omitempty"`
	// Starting requests Response.Recent.
	Starting bool `cbor:",omitempty"`
}

// Response holds the updates after the state given in a Request.
type Response struct {
	// Revision is the revision of the newest configuration.
	Revision uint64
	// Life identifies one run of the voter's process; a restart changes it.
	Life uint64
	// Version is the version of the voter's directory after Notices.
	Version uint64
	Notices []directory.Notice
	// Encoded holds all notices in a form that is encoded once for many balancers.
	Encoded cbor.RawMessage `cbor:",omitempty"`
	// Elsewhere holds the encoded notices of other voters, for a starting balancer.
	Elsewhere cbor.RawMessage `cbor:",omitempty"`
	// Packed holds the same as Elsewhere and Encoded, each in S2 block format, which is compressed once
	// for many balancers.
	Packed [][]byte `cbor:",omitempty"`
	// Configuration is an encoded history.Response for a balancer without a configuration.
	Configuration cbor.RawMessage `cbor:",omitempty"`
	// Members are the RPC addresses of all known voters.
	Members []string
	// Doubts lists all suspicions of upstreams and zones. It is set only if the request's Life
	// or Doubts differs from Life or DoubtsVersion. DoubtsVersion rises with each change of the
	// suspicions.
	Doubts        []evidence.Suspicion
	DoubtsVersion uint64
	// Zone is the voter's availability zone.
	Zone string
	// Fleet lists the balancers of the requester's zone. It is nil if the requester already has
	// FleetVersion. FleetVersion rises with each change of the list.
	Fleet        []member.Member `cbor:",omitempty"`
	FleetVersion uint64
	// Balancers is the number of known balancers in all zones.
	Balancers int `cbor:",omitempty"`
	// Evacuations holds the evacuation orders if they are newer than those of the requester.
	Evacuations *evacuation.Evacuations `cbor:",omitempty"`
	// Uneven lists the upstreams that answer more requests shortly than others, if UnevenVersion
	// differs from that in the request.
	Uneven        []evidence.Reduced `cbor:",omitempty"`
	UnevenVersion uint64             `cbor:",omitempty"`
	// Busy reports that too many balancers are starting. Of the other fields, only Members and Zone are
	// set then; the balancer polls again or elsewhere.
	Busy bool `cbor:",omitempty"`
	// Claims holds all claims on shared cookies that the voter knows, if ClaimsDigest, which identifies
	// them, differs from that in the request.
	Claims       []claims.Claim `cbor:",omitempty"`
	ClaimsDigest uint64         `cbor:",omitempty"`
	// Recent lists the upstreams that this voter has known for a short time only.
	Recent *recent.Set `cbor:",omitempty"`
}

// Feed holds the state that one voter serves to balancers. It is safe for concurrent use.
type Feed struct {
	mu      sync.Mutex
	life    uint64
	clock   func() time.Time
	history history.History
	// evacuations are the evacuation orders in effect.
	evacuations evacuation.Evacuations
	// claims are the claims on shared cookies.
	claims claims.Set
	// services holds the names of the configured services, nil while no configuration is known.
	services  map[string]bool
	directory *directory.Directory
	// voterAddresses are the RPC addresses of all known voters.
	voterAddresses []string
	// changed is closed to complete the waiting polls.
	changed chan struct{}
	// lastWake is when polls were last completed for changes of upstreams; pending is set
	// while further changes are batched.
	lastWake time.Time
	pending  bool
	// detector accrues evidence of unresponsive upstreams; evaluationScheduled is set while a
	// timer for its next evaluation runs.
	detector            *accrual.Detector
	evaluationScheduled bool
	// confirmation holds the results of probes of the hosts of suspected upstreams.
	confirmation *confirmation.Confirmer
	prober       Prober
	// uneven compares the upstreams of each service; reduced are its verdicts as of reducedVersion.
	uneven         *uneven.Detector
	reduced        []evidence.Reduced
	reducedVersion uint64
	// suspicionsPacer limits the rate of responses with suspicions.
	suspicionsPacer pacing.Pacer
	// lastPoll holds the last poll of each active balancer, by name.
	lastPoll        map[string]lastPoll
	remoteUpstreams remoteUpstreams
	// zone is the voter's own availability zone.
	zone string
	// fleet holds the balancers that poll this voter, and their followers.
	fleet *members.Members
	// firstStates and configuration cache responses that many starting balancers request.
	firstStates firstStates
	// starts limits the first states that are encoded or sent at the same time.
	starts        *semaphore.Weighted
	configuration responseCache[configurationKey]
}

// lastPoll is the time and relay depth of a balancer's last poll.
type lastPoll struct {
	at        time.Time
	relayHops int
}

// configurationKey identifies an encoding of the changes between two revisions.
type configurationKey struct{ held, current uint64 }

// New returns an empty feed. life must differ from that of earlier processes of this voter.
func New(life uint64, d *directory.Directory, clock func() time.Time) *Feed {
	return &Feed{
		life: life, clock: clock, directory: d, changed: make(chan struct{}), detector: accrual.New(), lastPoll: map[string]lastPoll{},
		uneven: uneven.New(), fleet: members.New(), confirmation: confirmation.New(),
		starts: semaphore.NewWeighted(maxStarts),
	}
}

// Serve registers the feed's RPC methods on a server.
func (f *Feed) Serve(r *rpc.Server, token string) {
	rpc.Handle(r, SinceMethod, token, f.serveSince)
	rpc.Handle(r, ConfigurationMethod, token, func(_ context.Context, revision uint64) (cbor.RawMessage, error) {
		return f.encodedConfiguration(revision)
	})
	f.serveClaims(r, token)
	f.serveReports(r, token)
	f.serveFleet(r, token)
}

// Publish publishes a configuration to balancers if it is newer than the current one.
func (f *Feed) Publish(h history.History) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h.Current().Revision > f.history.Current().Revision {
		f.history = h
		f.services = lo.SliceToMap(h.Current().Services, func(s configuration.Service) (string, bool) { return s.Name, true })
		f.wake()
	}
}

// PublishEvacuations publishes evacuation orders to balancers if they are newer than the current ones.
func (f *Feed) PublishEvacuations(e evacuation.Evacuations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Revision > f.evacuations.Revision {
		f.evacuations = e
		f.wake()
	}
}

// Configured reports whether the configuration contains a service. It returns true while no
// configuration is known.
func (f *Feed) Configured(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services == nil || f.services[service]
}

// SetVoters sets the RPC addresses of all known voters.
func (f *Feed) SetVoters(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.voterAddresses = addresses
}

// Announce records an upstream's announcement. It reports whether the announcement changes the
// directory and whether it refutes a suspicion. cold is the remaining time of the upstream's slow start.
func (f *Feed) Announce(now time.Time, u upstream.Upstream, cold time.Duration) (changed, refutesSuspicion bool) {
	return f.AnnounceForwarded(now, handover.Announcement{Upstream: u, Cold: cold})
}

// AnnounceForwarded records an announcement that was received a.Age ago, usually by a process that
// forwarded the announcement. It returns the same results as Announce.
func (f *Feed) AnnounceForwarded(now time.Time, a handover.Announcement) (changed, refutesSuspicion bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, newer := f.directory.Announce(now.Add(-a.Age), a.Upstream, a.Cold)
	if changed {
		f.pending = true
		f.wakeIfDue(now)
	}
	return changed, newer && a.Upstream.State != upstream.Withdrawn && f.refuteSuspicion(now, a)
}

// Restore records an upstream of another voter from the state that this voter saved before a restart.
func (f *Feed) Restore(now time.Time, u upstream.Upstream, cold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directory.Restore(now, u, cold)
}

// wakeIfDue completes polls if changes of upstreams are pending and the minimum interval since
// lastWake has passed. Otherwise a later Tick completes them.
func (f *Feed) wakeIfDue(now time.Time) {
	if f.pending && now.Sub(f.lastWake) >= max(minWakeInterval, time.Duration(len(f.lastPoll))*time.Second/maxResponsesPerSecond) {
		f.lastWake, f.pending = now, false
		f.wake()
	}
}

// Tick expires announcements and sends batched changes. Call it at least every 100 ms.
func (f *Feed) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleet.Tick(now)
	f.pending = f.directory.Tick(now) || f.pending
	f.wakeIfDue(now)
	f.evaluate(now)
	f.evaluateUneven(now)
}

// Version rises with each change of the upstreams.
func (f *Feed) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Version()
}

// Notices returns all known upstreams and their version.
func (f *Feed) Notices(now time.Time) ([]directory.Notice, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.Since(now, 0), f.directory.Version()
}

// wake completes the waiting polls. The caller holds the lock.
func (f *Feed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}
