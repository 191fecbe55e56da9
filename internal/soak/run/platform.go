package run

import (
	"context"
	"fmt"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
)

// The ports are the same on each VM, since each VM has its own loopback address.
const (
	FabricPort  = 8172
	ReadyPort   = 8167
	ApiPort     = 8166
	RpcPort     = 7720
	MetricsPort = 9464
)

// AnnounceInterval is the interval between two announcements of an upstream.
const AnnounceInterval = 400 * time.Millisecond

// VM describes the simulated VM on which a process runs.
type VM struct {
	Role, Name, Zone, Ip string
	// Advertise is the RPC address that other processes use.
	Advertise string
	// Seeds are API addresses of some voters, separated by commas.
	Seeds string
	// Founding is set for a voter that starts a new system instead of joining the existing one.
	Founding bool
	Folder   string
	// LinkMbps is the bandwidth that the process assumes for its link. The loopback does not limit it.
	LinkMbps int
	// Zones are all availability zones, separated by commas; with several zones and a narrow link,
	// processes share their load.
	Zones string
}

// Segment is a packet as the endpoints of a flow send and receive it.
type Segment struct {
	router.Packet
	Open, Acknowledge bool
	Data              []byte
}

// Platform provides the settings files, API calls and packet formats of the users' platform.
type Platform interface {
	// Settings returns the content of the settings file of a VM.
	Settings(m VM) string
	// Environment returns the environment variable that names the settings file of a process.
	Environment(file string) string
	// Publish sends a configuration to the voter with an API address.
	Publish(ctx context.Context, address string, c configuration.Configuration) error
	// Read returns the newest configuration revision that the voter with an API address reports.
	Read(ctx context.Context, address string) (uint64, error)
	// Ready reports whether the balancer with an address for readiness checks is ready for traffic.
	Ready(ctx context.Context, address string) bool
	// Evacuate starts the evacuation of a zone if on is set, else ends the evacuation. It returns
	// nil once the request is acknowledged.
	Evacuate(ctx context.Context, address, zone string, on bool) error
	// Announce sends one announcement to an address. It returns the address for later announcements,
	// or an empty string if the address does not change.
	Announce(ctx context.Context, address string, u upstream.Upstream) (string, error)
	// Encode encodes a packet that a caller or an upstream sends.
	Encode(s Segment) []byte
	// Decode decodes a packet that an upstream has received if atUpstream is set, or else a caller.
	// The uint64 is the incarnation of the upstream to which the packet was sent. For a packet to a
	// caller, the uint64 is 0.
	Decode(b []byte, atUpstream bool) (Segment, uint64, error)
}

// Settings configures a run.
type Settings struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Program is the path of the executable that is tested.
	Program string
	// Folder is the directory for settings files, data folders and logs.
	Folder                               string
	Zones, Balancers, Upstreams, Callers int
	// Busy is the number of busy loops that compete with the run for CPU time.
	Busy int
	// SharedLoad gives processes the settings with which they share their load.
	SharedLoad bool
	Platform   Platform
}

// SettingError reports a setting outside its bounds.
type SettingError struct {
	Name       string
	Value, Max int
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s is %d; allowed: 1 to %d", e.Name, e.Value, e.Max)
}

// BrokenError reports a violated invariant.
type BrokenError struct {
	Invariant string
	Detail    string
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken promise: %s: %s", e.Invariant, e.Detail)
}

// The invariants that a run checks. Their texts appear in Result.Broken and stay unchanged.
const (
	InvariantService   = "a packet never reaches another service"
	InvariantFlow      = "open flows survive"
	InvariantResponse  = "callers get the answers to their own requests"
	InvariantOnce      = "a request runs at most once"
	InvariantRevert    = "what was acknowledged is never read back older"
	InvariantInForce   = "an accepted change is in force everywhere after seconds"
	InvariantDraining  = "a leaving upstream gets no new flow after seconds"
	InvariantEvacuated = "an evacuated zone gets no new flow after seconds"
	InvariantExit      = "no process ends by itself"
	InvariantRecover   = "all serve again after the faults"
	InvariantPriority  = "urgent flows are served no less than ordinary ones"
	InvariantBurst     = "service is back a second after a burst"
	InvariantLoad      = "balancers know the load of zones"
)
