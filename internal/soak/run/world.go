package run

import (
	"context"
	"fmt"
	"time"

	"wasabideal/internal/cookie/router"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/upstream"
)

// The ports, the same on each machine, which has a loopback address of its own.
const (
	FabricPort  = 8172
	ReadyPort   = 8167
	ApiPort     = 8166
	RpcPort     = 7720
	MetricsPort = 9464
)

// AnnounceEvery is the time between two announcements of an upstream.
const AnnounceEvery = 400 * time.Millisecond

// Machine is a process's surroundings.
type Machine struct {
	Role, Name, Zone, Ip string
	// Advertise is the call address that others use.
	Advertise string
	// Seeds are the operators' addresses of some voters, joined by commas.
	Seeds    string
	Founding bool
	Folder   string
}

// Segment is a packet as an end of a flow writes and reads it.
type Segment struct {
	router.Packet
	Open, Acknowledge bool
	Data              []byte
}

// World is the platform's side of the processes' interfaces.
type World interface {
	Settings(m Machine) string
	Environment(file string) string
	Publish(ctx context.Context, address string, c configuration.Configuration) error
	Read(ctx context.Context, address string) (uint64, error)
	Ready(ctx context.Context, address string) bool
	// Evacuate orders that a zone be emptied, or taken back, and returns nil once that is
	// acknowledged.
	Evacuate(ctx context.Context, address, zone string, on bool) error
	// Announce returns the address for later announcements, empty where it stays.
	Announce(ctx context.Context, address string, u upstream.Upstream) (string, error)
	Encode(s Segment) []byte
	Decode(b []byte, atUpstream bool) (Segment, uint64, error)
}

// Settings of a run.
type Settings struct {
	Seed uint64
	// For is how long faults are injected.
	For time.Duration
	// Program is the path of the project's program.
	Program string
	// Folder takes settings, disks and logs.
	Folder                               string
	Zones, Balancers, Upstreams, Callers int
	// Busy is how many loops take processors beside the run.
	Busy  int
	World World
}

// SettingError is a setting with which no run can be played.
type SettingError struct {
	Name        string
	Value, Most int
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("%s is %d; allowed: 1 to %d", e.Name, e.Value, e.Most)
}

// BrokenError is a promise that did not hold.
type BrokenError struct {
	Promise string
	Detail  string
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("broken promise: %s: %s", e.Promise, e.Detail)
}

// The promises that a run checks.
const (
	PromiseService   = "a packet never reaches another service"
	PromiseFlow      = "open flows survive"
	PromiseOwn       = "callers get the answers to their own requests"
	PromiseOnce      = "a request runs at most once"
	PromiseRevert    = "what was acknowledged is never read back older"
	PromiseLeaving   = "a leaving upstream gets no new flow after seconds"
	PromiseEvacuated = "an evacuated zone gets no new flow after seconds"
	PromiseExit      = "no process ends by itself"
	PromiseRecover   = "all serve again after the faults"
)
