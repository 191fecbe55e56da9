package page

import (
	"math"

	"wasabideal/internal/capacity/measure"
)

// The constants of cookie routing, with the values that the product uses.
const (
	// pollSeconds is the duration of a long poll at a voter, followSeconds that of a long poll at a
	// balancer.
	pollSeconds   = 0.8
	followSeconds = 0.6
	// callBytes is the overhead of an RPC beyond its payload, such as packets of the connection.
	callBytes = 250.0
	// pollBytes is the size of a poll of a voter and its empty response, overhead included.
	pollBytes = 420.0
	// flowSeconds is how long an idle flow is kept.
	flowSeconds = 15.0
	// packetsPerOpening is the number of packets that a caller sends on a flow after the opening.
	packetsPerOpening = 12.0
	// announceSeconds is the interval of an upstream's announcements. announcementBytes is the size
	// of an announcement that a balancer forwards.
	announceSeconds   = 1.2
	announcementBytes = 70.0
	// rootsPerZone is the number of balancers of a zone that follow the voters. fanout is the mean
	// number of followers of a balancer, maxFollowers the maximum.
	rootsPerZone = 4.0
	fanout       = 8.0
	maxFollowers = 10.0
	// smallZone is the maximum size of a zone in which all balancers follow the voters.
	smallZone = 8.0
	// reportSeconds is the interval of reports about balancers. Each balancer in a report takes the
	// gradient of FleetBytes plus entryBytes.
	reportSeconds = 5.0
	entryBytes    = 6.0
	// voterDescriptors is the limit of open file descriptors of a voter.
	voterDescriptors = 4096.0
	// seeds is the number of voters that the settings name. A starting balancer loads its whole
	// state from one of these voters over startConnections connections: one for polls, one for
	// reports.
	seeds            = 3.0
	startConnections = 2.0
	// voterCores is a voter's share of a core, voterLink the bytes per second of its link. startLimit is
	// the shortest bound within which a configuration is in force in any deployment, in seconds.
	voterCores = 0.24
	voterLink  = 420e6 / 8
	startLimit = 3.0
	// voterConnections is the number of connections of a follower to a voter: one each for polls,
	// reports and announcements.
	voterConnections = 3.0
	// batchesPerSecond is the number of RPCs per second in which a root balancer forwards announcements.
	batchesPerSecond = 1 / (announceSeconds / 4)
)

// zoneSize is the number of balancers in a zone.
func (s size) zoneSize() float64 { return s.balancers / s.zones }

// roots is the number of balancers that follow the voters.
func (s size) roots() float64 {
	if s.zoneSize() <= smallZone {
		return s.balancers
	}
	return rootsPerZone * s.zones
}

// followers is the maximum number of balancers that follow a root.
func (s size) followers() float64 {
	return math.Min(maxFollowers, math.Max(s.zoneSize()-rootsPerZone, 0)*rootsPerZone/math.Max(s.roots(), 1))
}

// levels is the depth of a zone's distribution tree.
func (s size) levels() float64 {
	levels, width, total := 1.0, rootsPerZone, rootsPerZone
	for s.zoneSize() > math.Max(total, smallZone) {
		width *= fanout
		total += width
		levels++
	}
	return levels
}

// cookieLines returns the lines of a root balancer and a voter under cookie routing; all other
// balancers cost less.
func (p Page) cookieLines(s size) []line {
	const role = "Root balancer of a zone, cookie routing"
	openings := s.openings / s.balancers
	flows := math.Min(openings*flowSeconds, 100_000)
	noticeRate := s.upstreams * s.upstreamChanges / secondsPerDay
	perUpstream := p.slopes[measure.NewsBytes].Gradient
	delta := p.at(measure.DeltaBytes, s.addresses)
	followerCount := s.followers()
	descendants := math.Max(s.zoneSize()/rootsPerZone-1, 0) * math.Min(followerCount, 1)
	bytesPerFollower := (p.at(measure.FollowBytes, s.voters) + callBytes) / followSeconds
	changeBytes := noticeRate*perUpstream + delta*s.changeRate()
	forwarded := s.upstreams / s.zones / rootsPerZone / announceSeconds * math.Min(followerCount, 1)
	bytes := s.voters*pollBytes/pollSeconds + (1+followerCount)*changeBytes + followerCount*bytesPerFollower +
		(s.voters+1)*descendants*(p.slopes[measure.FleetBytes].Gradient+entryBytes)/reportSeconds + 2*forwarded*announcementBytes
	core := s.voters/pollSeconds*p.at(measure.QuestionMicros, s.upstreams)/2e6 + followerCount/followSeconds*p.at(measure.FollowMicros, s.upstreams)/2e6 +
		noticeRate*(p.at(measure.ViewMicros, s.upstreams/2)+followerCount*p.at(measure.FollowMicros, s.upstreams))/1e6 +
		s.changeRate()*p.at(measure.DeltaMicros, s.addresses)/1e6 + forwarded*p.at(measure.HandoverMicros, s.upstreams)/1e6
	return append([]line{
		{role, "flows kept", "openings per second x 15 s, 100,000 at most", "only for load and detection of unresponsive upstreams; none is needed to forward", flows, 0},
		{role, "core share of packets", "openings per second x (CookieOpeningNanos + 12 x CookieNanos)", "a cookie identifies the upstream, an opening compares eight upstreams (internal/cookie/router)", openings * (p.at(measure.CookieOpeningNanos, s.upstreams/2) + packetsPerOpening*p.at(measure.CookieNanos, flows)) / 1e9, 0},
		{role, "followers", "at most 10, mean 8", "a tree built from address hashes (internal/fanout/tree)", followerCount, 0},
		{role, "tree levels of its zone", "4, 32, 256 … balancers per level", "as above", s.levels(), 0},
		{role, "control, bytes per second", "voters x 420 bytes / 0.8 s + (1 + followers) x (upstream changes x NewsBytes + DeltaBytes x changes) + followers x (FollowBytes + 250) / 0.6 s + follower reports / 5 s + 2 x announcements of its part of the zone", "long polls; versioned lists; announcements forwarded in batches", bytes, bytesLimit},
		{role, "control, core share", "voters / 0.8 s x QuestionMicros / 2 + followers / 0.6 s x FollowMicros / 2 + upstream changes x (ViewMicros + followers x FollowMicros) + changes x DeltaMicros + announcements x HandoverMicros", "one merged view, distributed by version", core, coreLimit},
		{role, "control, memory bytes", "ViewBytes(upstreams) + CookieFlowBytes + HeldConfigurationBytes x 2 + FleetBytes(zone) x 4", "each upstream is reported by one voter; flows kept", p.at(measure.ViewBytes, s.upstreams) + p.at(measure.CookieFlowBytes, flows) + 2*p.at(measure.HeldBytes, s.addresses) + 4*p.at(measure.FleetBytes, s.zoneSize()), memoryLimit},
		{role, "seconds until a departure has reached all balancers", "0.25 s per level, and 0.3 s at a voter", "each level batches notices (internal/fanout/relay)", 0.3 + 0.25*(s.levels()-1), spreadLimit},
	}, p.cookieVoterLines(s)...)
}

// startSeconds returns the time until one voter of the settings has served its part of the balancers.
func (p Page) startSeconds(s size) float64 {
	bytes := p.slopes[measure.NewsBytes].Gradient * s.upstreams / s.zones
	return s.balancers / seeds * (p.at(measure.FirstStateMicros, s.upstreams)/1e6/voterCores + bytes/voterLink)
}

// cookieVoterLines returns the lines of a voter that the root balancers of each zone follow.
func (p Page) cookieVoterLines(s size) []line {
	const role = "Voter, cookie routing"
	followers := s.roots()
	noticeRate := s.upstreams * s.upstreamChanges / secondsPerDay
	announcementRate := s.upstreams / s.voters / announceSeconds
	calls := followers / pollSeconds
	batches := followers / s.voters * batchesPerSecond
	reports := s.balancers * (p.slopes[measure.FleetBytes].Gradient + entryBytes) / reportSeconds
	core := calls*p.at(measure.QuestionMicros, s.upstreams)/2e6 + announcementRate*p.at(measure.HandoverMicros, s.upstreams)/2e6 +
		noticeRate*followers*p.at(measure.QuestionMicros, s.upstreams)/2e6
	bytes := calls*pollBytes + announcementRate*announcementBytes + batches*callBytes + reports +
		noticeRate*followers*p.slopes[measure.NewsBytes].Gradient
	return []line{
		{role, "followers", "4 per zone, 8 in a small one", "the tree; after a partition regions keep the voters on their side", followers, 0},
		{role, "connections", "followers x 3", "polls, reports, announcements", followers * voterConnections, voterDescriptors / 2},
		{role, "connections while all balancers and upstreams start", "balancers / 3 x 2 + followers x 3 + upstreams / voters", "a starting balancer loads all state from one voter of the settings; upstreams call voters until they are referred to a balancer", s.balancers/seeds*startConnections + followers*voterConnections + s.upstreams/s.voters, voterDescriptors},
		{role, "seconds until all balancers that start together have a first state", "balancers / 3 x (FirstStateMicros / 0.24 cores + NewsBytes x upstreams / zones / 420 Mbit/s)", "upstreams of the balancer's zone, encoded once for many balancers; 16 balancers are served at a time (internal/control/feed)", p.startSeconds(s), startLimit},
		{role, "core share", "followers / 0.8 s x QuestionMicros / 2 + upstreams / voters / 1.2 s x HandoverMicros / 2 + upstream changes x followers x QuestionMicros / 2", "each balancer on the way batches announcements (internal/upstream/handover)", core, voterCores},
		{role, "bytes per second", "polls x 420 + announcements x 70 + forwarded batches x 250 + reports of all balancers / 5 s + notices", "as above", bytes, 0},
		{role, "announcements per second without balancers in between", "upstreams / voters / 1.2 s", "if each announcement were a separate RPC", announcementRate, 0},
	}
}
