package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"wasabideal/internal/control/feed"
	"wasabideal/internal/control/upstreams"
	"wasabideal/internal/fanout/member"
	"wasabideal/internal/fanout/origins"
	"wasabideal/internal/fanout/relay"
	"wasabideal/internal/fanout/tree"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/directory"
	"wasabideal/internal/upstream/handover"
	"wasabideal/internal/upstream/owner"
	"wasabideal/internal/upstream/view"
	"wasabideal/internal/wire/rpc"
)

// announcementsPerCall is the number of announcements in one forwarding call.
const announcementsPerCall = 20

func fanoutMeasurements() []Measurement {
	known := []float64{150, 1500, 21_000}
	zone := []float64{8, 64, 600}
	return []Measurement{
		{Name: FollowMicros, Per: "upstream known", Unit: "us a follower's question without news, both ends", Sizes: known, Measure: followMicros},
		{Name: FollowBytes, Per: "voter", Unit: "bytes of a follower's question and its answer without news", Sizes: []float64{3, 5, 9}, Measure: followBytes},
		{Name: HandoverMicros, Per: "upstream known", Unit: "us an announcement of 20 in a call, both ends", Sizes: known, Measure: forwardMicros},
		{Name: FleetBytes, Per: "balancer of the zone", Unit: "bytes of the list", Sizes: zone, Measure: fleetBytes},
		{Name: PlaceMicros, Per: "balancer of the zone", Unit: "us to work out a place", Sizes: zone, Measure: placeMicros},
	}
}

// voterAddress returns the address of the n-th voter.
func voterAddress(n int) string { return fmt.Sprintf("10.%d.0.12:7720", n+1) }

// newOrigins returns the state that a balancer has received from a number of voters.
func newOrigins(voters int) *origins.Origins {
	o := origins.New()
	for n := range voters {
		o.Apply(cookieEpoch, origins.Update{VoterVersion: origins.VoterVersion{Voter: voterAddress(n), Life: 1 << 60, Version: 100_000, Doubts: 100}})
	}
	return o
}

// parentBalancer relays notices to the balancers that follow it.
type parentBalancer struct {
	origins *origins.Origins
	view    *view.View
}

func (p parentBalancer) Updates(now time.Time, q relay.Request) (relay.Response, bool) {
	all, hasUpdates := p.origins.UpdatesSince(now, q.Known)
	for i, x := range all {
		all[i].Notices = p.view.Since(now, x.Voter, x.Life, x.Version)
	}
	return relay.Response{Origins: all}, hasUpdates
}

func (parentBalancer) ShuttingDown() bool { return false }

// measuredVoters is the number of voters whose state the parent relays.
const measuredVoters = 5

// followMicros returns the time, in microseconds, of a poll of a parent without updates, with the
// given number of upstreams.
func followMicros(size float64) (float64, error) {
	p := parentBalancer{origins: newOrigins(measuredVoters), view: view.New(view.Settings{ContactLease: time.Hour, ForgetAfter: time.Hour})}
	for n := range measuredVoters {
		var notices []directory.Notice
		for u := range int(size) / measuredVoters {
			notices = append(notices, directory.Notice{Upstream: upstreamAt(u*measuredVoters + n)})
		}
		p.view.Apply(cookieEpoch, view.Update{Voter: voterAddress(n), Life: 1 << 60, Version: 100_000, Contact: cookieEpoch, Notices: notices})
	}
	r := relay.New(p, func() time.Time { return cookieEpoch }, 1)
	q := relay.Request{From: "10.1.0.10:7720", Known: p.origins.VoterVersions(cookieEpoch)}
	return callMicros(1, func(s *rpc.Server) { r.Serve(s, token) }, func(ctx context.Context, c *rpc.Client) error {
		_, err := rpc.Call[relay.Request, relay.Response](ctx, c, relay.SinceMethod, q)
		return err
	})
}

// followBytes returns the encoded size of a poll and its response without updates, with the given
// number of voters.
func followBytes(size float64) (float64, error) {
	o := newOrigins(int(size))
	known := o.VoterVersions(cookieEpoch)
	all, _ := o.UpdatesSince(cookieEpoch, known)
	request, err := encodedBytes(relay.Request{From: "10.1.0.10:7720", Known: known})
	if err != nil {
		return 0, err
	}
	response, err := encodedBytes(relay.Response{Origins: all})
	return request + response, err
}

// forwardMicros returns the time per announcement, in microseconds, of a call by which a balancer
// forwards a batch of announcements to a voter that knows the given number of upstreams.
func forwardMicros(size float64) (float64, error) {
	f := feed.New(1, newDirectory(int(size)), func() time.Time { return cookieEpoch })
	u := upstreams.New(upstreams.Settings{
		Token: token, Clock: func() time.Time { return cookieEpoch }, Responsive: func() []owner.Voter { return nil },
	}, f, hclog.NewNullLogger())
	sequence := uint64(1)
	return callMicros(announcementsPerCall, u.Serve, func(ctx context.Context, c *rpc.Client) error {
		sequence++
		var all []handover.Announcement
		for n := range announcementsPerCall {
			x := upstreamAt(n)
			x.Sequence, x.State = sequence, upstream.Ready
			all = append(all, handover.Announcement{Upstream: x})
		}
		_, err := rpc.Call[[]handover.Announcement, struct{}](ctx, c, upstreams.ForwardMethod, all)
		return err
	})
}

// zoneMembers returns the balancers of a zone.
func zoneMembers(size float64) []member.Member {
	var out []member.Member
	for n := range int(size) {
		ip := fmt.Sprintf("10.1.%d.%d", n/250, n%250+1)
		out = append(out, member.Member{Zone: "Port Tawfik", Address: ip + ":7720", Announcements: ip + ":7721"})
	}
	return out
}

// fleetBytes returns the encoded size of the list of a zone's balancers.
func fleetBytes(size float64) (float64, error) { return encodedBytes(zoneMembers(size)) }

// placeMicros returns the time, in microseconds, in which a balancer computes its place in the fan-out
// tree, with the given number of balancers in its zone.
func placeMicros(size float64) (float64, error) {
	var addresses []string
	for _, m := range zoneMembers(size) {
		addresses = append(addresses, m.Address)
	}
	shape := tree.Shape{Small: 8, Roots: 4, Fanout: 8}
	const lookups = 50
	return nanos(lookups, func() {
		for n := range lookups {
			shape.PlaceOf(addresses[n%len(addresses)], addresses)
		}
	}) / 1000, nil
}
