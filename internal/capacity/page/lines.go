package page

import (
	"bytes"
	"fmt"
	"math"

	"wasabideal/internal/capacity/measure"
)

// size holds the figures of a deployment.
type size struct {
	// flows is the number of concurrent flows, openings the number of new flows per second.
	balancers, upstreams, addresses, flows, openings float64
	zones, regions                                   float64
	// voters is the number of VMs with disks, all of which vote.
	voters                                      float64
	changesPerDay, restartsPerDay, deathsPerDay float64
	// group is the number of members that share flows and gossip.
	group float64
	// relays is the number of balancers in each zone that follow the voters directly, that is,
	// of the roots of the tree.
	relays float64
	// lease is the validity of an announcement in seconds.
	lease float64
	// upstreamChanges is the number of starts and stops of an upstream per day.
	upstreamChanges float64
}

func todaySize() size {
	return size{
		balancers: 9, upstreams: 19, addresses: 2, flows: 38_000, openings: 5000, zones: 3, regions: 1, voters: 3, upstreamChanges: 3,
		changesPerDay: 20, restartsPerDay: 9, deathsPerDay: 0.07, group: 9, relays: 1, lease: 8,
	}
}

// plannedSize is the size planned for two years from now.
func plannedSize() size {
	return size{
		balancers: 3200, upstreams: 21_000, addresses: 9800, flows: 110e6, openings: 220_000, zones: 18, regions: 7, voters: 5, upstreamChanges: 3,
		changesPerDay: 16_000, restartsPerDay: 4300, deathsPerDay: 26, group: 64, relays: 6, lease: 30,
	}
}

// fleetSize is the largest fleet that was tested, at the rates of one of its test days: four
// configurations, 50 upstreams replaced and 40 removed in 24 s.
func fleetSize() size {
	return size{
		balancers: 985, upstreams: 10_000, addresses: 255, flows: 4000, openings: 1526, zones: 5, regions: 1, voters: 25,
		upstreamChanges: 0.0008 * secondsPerDay, changesPerDay: 3000, restartsPerDay: 122_000, group: 64, relays: 6, lease: 30,
	}
}

const (
	secondsPerDay = 86_400.0
	// copies is the number of replicas of a flow, the owner's included.
	copies = 3.0
	// recordBytes is the size of one flow in background replication.
	recordBytes = 32.0
	// The limits of a process: share of a core, bytes of memory and control bytes per second.
	coreLimit   = 0.01
	memoryLimit = 32e6
	bytesLimit  = 14e3
	// spreadLimit is the maximum time in seconds until a change has reached all balancers.
	// dedicatedLimit is the maximum number of dedicated VMs.
	spreadLimit    = 12.0
	dedicatedLimit = 20.0
	// hopSeconds is the time in which a change passes from one process to the next: the response to a
	// pending long poll, and a sync.
	hopSeconds = 0.05
)

var needed = []string{
	measure.FlowBytes, measure.HitNanos, measure.RelayNanos, measure.OpeningNanos, measure.RankMillis,
	measure.GossipMembers, measure.GossipMicros, measure.GossipUpstreams, measure.UpstreamBytes,
	measure.WholeBytes, measure.HeldBytes, measure.DeltaBytes, measure.DeltaMicros, measure.FanoutMicros,
	measure.LogBytes, measure.RecoveryMillis, measure.AcceptMicros,
	measure.CookieNanos, measure.CookieFlowBytes, measure.CookieOpeningNanos, measure.ViewMicros, measure.NewsBytes, measure.FirstStateMicros,
	measure.QuestionMicros, measure.FollowMicros, measure.FollowBytes, measure.HandoverMicros, measure.FleetBytes, measure.PlaceMicros, measure.ViewBytes,
}

// line is one resource of a role. A limit of 0 means that the resource has no limit.
type line struct {
	role, resource, formula, mechanism string
	value, limit                       float64
}

// groups is the number of groups among which the addresses are divided.
func (s size) groups() float64 { return math.Max(1, s.balancers/s.group) }

func (s size) upstreamsPerGroup() float64 { return s.upstreams / s.groups() }

func (s size) flowsPerBalancer() float64 { return s.flows / s.balancers }

// changeRate is the changes per second in the busiest hour, which has a fifth of the day's changes.
func (s size) changeRate() float64 { return s.changesPerDay / 5 / 3600 }

// memberChanges is the number of member changes per second in one group: three for each restart and
// one for each death.
func (s size) memberChanges() float64 {
	return (3*s.restartsPerDay + s.deathsPerDay) / secondsPerDay / s.groups()
}

func (p Page) gossipBytes(s size) float64 {
	members := p.at(measure.GossipMembers, s.group)
	// The slope by upstreams was measured with a lease of 30 s; its intercept is already part
	// of the slope by members.
	u := p.slopes[measure.GossipUpstreams]
	return members + u.Gradient*s.upstreamsPerGroup()*30/s.lease
}

func (p Page) lines(s size) []line {
	var ls []line
	ls = append(ls, p.balancerLines(s)...)
	ls = append(ls, p.relayLines(s)...)
	ls = append(ls, p.voterLines(s)...)
	ls = append(ls, p.cookieLines(s)...)
	return append(ls, p.otherLines(s)...)
}

func (p Page) balancerLines(s size) []line {
	delta := p.at(measure.DeltaBytes, s.addresses)
	gossip := p.gossipBytes(s)
	rank := p.at(measure.RankMillis, s.group) / 1000 * s.memberChanges()
	apply := p.at(measure.DeltaMicros, s.addresses) / 1e6 * s.changeRate()
	probing := p.at(measure.GossipMicros, s.group) / 1e6
	held := p.at(measure.HeldBytes, s.addresses) + p.at(measure.UpstreamBytes, s.upstreamsPerGroup())
	flows := s.flowsPerBalancer() * copies
	const role = "Balancer"
	return []line{
		{role, "flows held", "flows / balancers x copies", "owner and copies by rendezvous hashing (internal/flow/ownership)", flows, 0},
		{role, "flow table, bytes", "FlowBytes(flows held)", "pointer-free table of 32-byte entries", p.at(measure.FlowBytes, flows), 0},
		{role, "openings per second", "openings / balancers", "power of two choices by hash and load", s.openings / s.balancers, 0},
		{role, "core share of openings", "openings per second x OpeningNanos(upstreams / groups) x copies", "copies are sent with the opening packet", s.openings / s.balancers * p.at(measure.OpeningNanos, s.upstreamsPerGroup()) * copies / 1e9, 0},
		{role, "control, bytes per second", "GossipBytesByMembers(group) + upstreams by lease + DeltaBytes x busiest hour's changes", "probes of constant cost in groups of bounded size; deltas", gossip + delta*s.changeRate(), bytesLimit},
		{role, "control, core share", "GossipMicros(group) + RankMillis x member changes + DeltaMicros x changes", "owners are ranked only when members change", probing + rank + apply, coreLimit},
		{role, "control, memory bytes", "HeldConfigurationBytes x 2 + UpstreamBytes(upstreams / groups)", "one configuration, its deltas, the group's upstreams", 2*held + deltasKept*delta, memoryLimit},
	}
}

// deltasKept is the number of deltas that a source keeps.
const deltasKept = 1024.0

func (p Page) relayLines(s size) []line {
	const role = "Relay (a balancer that other balancers follow)"
	followers := math.Max(s.balancers/s.zones/s.relays, 1)
	delta := p.at(measure.DeltaBytes, s.addresses)
	poll := 200.0 / 5 // a poll and its empty response every 5 s
	spread := 2*p.at(measure.FanoutMicros, followers)/1e6 + 3*hopSeconds
	return []line{
		{role, "followers", "balancers / zones / relays", "long polls of one source (internal/configuration/source)", followers, 0},
		{role, "control, bytes per second", "followers x (delta x busiest hour's changes + poll)", "deltas; the whole configuration only after 1,024 missed changes", followers * (delta*s.changeRate() + poll), bytesLimit},
		{role, "seconds until a change has reached all balancers", "2 x FanoutMicros(followers) + 3 hops", "voters, relays, balancers: two levels", spread, spreadLimit},
		{role, "bytes for a balancer without a configuration", "WholeConfigurationBytes(addresses)", "sent once; 1,024 deltas cover an hour and a half at the plan's rate", p.at(measure.WholeBytes, s.addresses), 0},
	}
}

func (p Page) voterLines(s size) []line {
	const role = "Control voter"
	keys := math.Min(s.changesPerDay*6, 100_000)
	change := p.at(measure.LogBytes, 5000) / 5000
	delta := p.at(measure.DeltaBytes, s.addresses)
	return []line{
		{role, "dedicated VMs", "each VM with a disk votes", "today 3, which may run on VMs of balancers", math.Min(s.voters, s.balancers), dedicatedLimit},
		{role, "core share of changes", "changes per second x (AcceptMicros + (voters - 1) x DeltaMicros)", "one sync per change", s.changeRate() * (p.at(measure.AcceptMicros, 1) + (s.voters-1)*p.at(measure.DeltaMicros, s.addresses)) / 1e6, 0},
		{role, "bytes per second to relays", "zones x relays x delta x changes per second", "only relays follow the voters", s.zones * s.relays * delta * s.changeRate(), 0},
		{role, "change keys held, bytes", "6 days of keys x 200", "window of 100,000 keys", keys * 200, 0},
		{role, "log between snapshots, bytes", "1,024 x LogBytes per change", "snapshot every 1,024 entries", 1024 * change, 0},
		{role, "recovery, ms", "RecoveryMillis(1,024)", "snapshot and the log after it", p.at(measure.RecoveryMillis, 1024), 0},
	}
}

func (p Page) otherLines(s size) []line {
	renewals := s.upstreams * 3 / s.lease
	return []line{
		{"Upstream announcements", "announcements per second, total", "upstreams x 3 / lease", "HTTP to any balancer of the group", renewals, 0},
		{"Upstream announcements", "announcements per second and balancer", "upstreams x 3 / lease / balancers", "soft state, distributed by gossip", renewals / s.balancers, 0},
		{"Operator", "changes per day", "given", "expected revision and change key", s.changesPerDay, 0},
		{"Operator", "bytes per change", "DeltaBytes(addresses)", "a delta holds whole services", p.at(measure.DeltaBytes, s.addresses), 0},
	}
}

// repairSeconds returns what follows from the loss of members of a group: the number of flows that
// each remaining member copies, and the time that their background replication takes.
func repairSeconds(s size, lost float64) (flows, seconds float64) {
	// Each remaining member repairs an equal part of the flows of the lost members.
	flows = s.flowsPerBalancer() * copies * lost / math.Max(s.group-lost, 1)
	return flows, flows * recordBytes / (bytesLimit * 0.25)
}

func (p Page) renderFailures(b *bytes.Buffer, s size) {
	b.WriteString("\n## Failures at the size of the plan\n\n")
	one, oneSeconds := repairSeconds(s, 1)
	_, _ = fmt.Fprintf(b, "- **One balancer fails** (26 per day): each of the %s others of its group copies %s flows again. Active flows are copied with their next two packets; idle ones are copied in the background at a quarter of 14 KB/s in %s s. Two other copies remain until then.\n",
		number(s.group-1), number(one), number(oneSeconds))
	rack, rackSeconds := repairSeconds(s, 16)
	_, _ = fmt.Fprintf(b, "- **A rack fails** (weekly; calculated for 16 balancers of one zone in a group of %s): %s flows to copy on each remaining balancer, %s s for the idle ones. The last copy is placed in another zone if all others share one, so a rack never holds all three.\n",
		number(s.group), number(rack), number(rackSeconds))
	zone, zoneSeconds := repairSeconds(s, s.group/3)
	_, _ = fmt.Fprintf(b, "- **A zone fails** (once or twice a year): a third of each group of its region is lost; %s flows to copy on each remaining balancer, %s s for the idle ones, and no flow without a copy elsewhere.\n",
		number(zone), number(zoneSeconds))
	missed := s.changeRate() * 600
	_, _ = fmt.Fprintf(b, "- **A region is partitioned for ten minutes**: it missed %s changes in the busiest hour, %s bytes of deltas for each balancer, which take %s s at 14 KB/s; a region without a majority of voters rejects changes meanwhile with an error.\n",
		number(missed), number(missed*p.at(measure.DeltaBytes, s.addresses)), number(missed*p.at(measure.DeltaBytes, s.addresses)/bytesLimit))
	whole := p.at(measure.WholeBytes, s.addresses)
	_, _ = fmt.Fprintf(b, "- **4,300 restarts per day and a rolling upgrade of all balancers**: a restarted balancer without a disk loads the whole configuration, %s bytes: %s s at 14 KB/s, or less if sent once at full speed. A relay whose %s followers all restart at once sends %s bytes.\n",
		number(whole), number(whole/bytesLimit), number(s.balancers/s.zones/s.relays), number(whole*s.balancers/s.zones/s.relays))
	morningRate := s.changesPerDay / (4 * 3600)
	_, _ = fmt.Fprintf(b, "- **16,000 changes in one morning** (4 h): %s per second, %s bytes per second to each balancer; the limit of 14 KB/s is reached at %s changes per second.\n",
		number(morningRate), number(morningRate*p.at(measure.DeltaBytes, s.addresses)), number((bytesLimit-p.gossipBytes(s))/p.at(measure.DeltaBytes, s.addresses)))
}
