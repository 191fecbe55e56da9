package event

import (
	"net/netip"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
)

// Kind identifies the type of an event.
type Kind string

// The events of a balancer.
const (
	// FabricDatagram is a GUE datagram from the network fabric.
	FabricDatagram Kind = "FabricDatagram"
	// PeerDatagram is a datagram on the peer port.
	PeerDatagram Kind = "PeerDatagram"
	// Ticked occurs at a fixed interval.
	Ticked Kind = "Ticked"
	// UpstreamAnnounced is an announcement by an upstream.
	UpstreamAnnounced Kind = "Announced"
	// ConfigurationReceived is a configuration from a voter or a peer.
	ConfigurationReceived Kind = "Offered"
	// EvacuationsReceived is a set of zone evacuations from a voter or a peer.
	EvacuationsReceived Kind = "Evacuated"
	// StopPlanned starts a planned stop: the balancer replicates all its flows elsewhere.
	StopPlanned Kind = "StopPlanned"
	// Stopped completes a planned stop: the balancer leaves the group.
	Stopped Kind = "Stopped"
)

// Event is one input of the reducer.
type Event struct {
	Kind     Kind
	From     netip.AddrPort     `json:",omitzero"`
	Data     []byte             `json:",omitempty"`
	Upstream *upstream.Upstream `json:",omitempty"`
	// TokenSha256 is the hex digest of the presented token, so that a trace contains
	// no secret.
	TokenSha256   string                       `json:",omitempty"`
	Configuration *configuration.Configuration `json:",omitempty"`
	Evacuations   *evacuation.Evacuations      `json:",omitempty"`
}
