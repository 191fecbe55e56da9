package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Roles of a process.
const (
	RoleBalancer = "Balancer"
	RoleControl  = "Control"
	RoleBoth     = "Both"
)

// Duration is a duration in the format of time.ParseDuration, such as "1.5s".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("parse duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats a duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration { return time.Duration(d) }

// Listen holds the listen addresses of a process.
type Listen struct {
	// Fabric receives GUE datagrams from the network fabric.
	Fabric string
	// Peer receives datagrams from other balancers.
	Peer string
	// Rpc serves calls of other processes and operators.
	Rpc string
	// Admin serves announcements, health and metrics over HTTP.
	Admin string
	// Door holds the addresses that serve requests over HTTP, one per service.
	Door []HTTPListener
}

// HTTPListener is the HTTP listen address for the requests of a service.
type HTTPListener struct{ Service, Address string }

// Balancer holds the settings of a balancer.
type Balancer struct {
	// Group names the balancers that share flows. A service in the configuration names the group
	// that serves it. If Group is empty, the balancer serves the services without a group.
	Group string
	// Seeds are the peer addresses of some balancers of the group, used to join it.
	Seeds []string
	// Sources are the RPC addresses of control voters or relays, in order of preference.
	Sources  []string
	MaxFlows int
	// MaxKeys is the maximum number of stored request keys; further keys are rejected.
	MaxKeys int
	Tick    Duration
	// ControlBytes is the combined limit for gossip and repair traffic in bytes per second.
	ControlBytes int
	// Lease is how long an announcement of an upstream is valid if no newer announcement follows.
	Lease Duration
	// Quarantine is how long an address gets no flows after it changes its service.
	Quarantine Duration
	// Tombstone is how long a withdrawn upstream stays recorded.
	Tombstone Duration
	// Settle is the time after a change of members during which the balancer queries other members
	// for unknown flows instead of guessing their upstream.
	Settle Duration
	// OpeningTimeout, IdleTimeout and ClosingTimeout are the times after which unconfirmed, idle
	// and closed flows, respectively, are removed.
	OpeningTimeout Duration
	IdleTimeout    Duration
	ClosingTimeout Duration
	// IndirectAfter, SuspectAfter and DeadAfter are the times without a response
	// after which a member is probed indirectly, suspected, and then declared dead.
	IndirectAfter Duration
	SuspectAfter  Duration
	DeadAfter     Duration
	// ForgetAfter is how long a dead member stays listed and is still probed.
	ForgetAfter Duration
	// StopTimeout is the maximum duration of a planned stop.
	StopTimeout Duration
	// Lost is the policy for flows that no member knows: Candidate or Drop.
	Lost string
	// TraceFile is the file to record events for replay; empty disables the trace.
	TraceFile string
}

// InitialVoter is a voter of the initial voter list.
type InitialVoter struct{ Name, Address string }

// Control holds the settings of a voter.
type Control struct {
	Founders []InitialVoter
	// Heartbeat is the interval between a leader's messages. Election is the minimum election
	// timeout.
	Heartbeat Duration
	Election  Duration
	Tick      Duration
	// CompactAfter is the number of log entries after which a snapshot replaces them.
	CompactAfter int
	// AcceptTimeout is how long a change of an operator may wait for acceptance.
	AcceptTimeout Duration
	// Rpc is the listen address of the voter. If empty, the voter listens at its address in
	// Founders.
	Rpc string
}

// Settings holds the content of a settings file.
type Settings struct {
	Role          string
	Name          string
	Zone          string
	LogLevel      string
	DataFolder    string
	GroupToken    string
	OperatorToken string
	Listen        Listen
	Balancer      Balancer
	Control       Control
}

// MalformedError reports where a file cannot be decoded.
type MalformedError struct {
	File   string
	Detail string
}

func (e *MalformedError) Error() string { return fmt.Sprintf("%s: %s", e.File, e.Detail) }

// Decode decodes settings and rejects unknown keys.
func Decode(file string, b []byte) (Settings, error) {
	var s Settings
	return s, DecodeInto(file, b, &s)
}

// DecodeInto decodes TOML into v and rejects unknown keys.
func DecodeInto(file string, b []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return &MalformedError{File: file, Detail: "unknown key:\n" + missing.String()}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return &MalformedError{File: file, Detail: decode.String()}
	}
	return &MalformedError{File: file, Detail: err.Error()}
}

// Read reads and decodes a settings file.
func Read(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Decode(file, b)
}
