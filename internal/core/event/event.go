package event

import (
	"net/netip"

	"wasabideal/internal/model/configuration"
	"wasabideal/internal/model/evacuation"
	"wasabideal/internal/model/upstream"
)

// Kind says what happened.
type Kind string

// The events of a balancer.
const (
	// FabricDatagram is a GUE datagram that the fabric handed to this balancer.
	FabricDatagram Kind = "FabricDatagram"
	// PeerDatagram is a datagram on the peer port.
	PeerDatagram Kind = "PeerDatagram"
	// Ticked happens at a steady pace.
	Ticked Kind = "Ticked"
	// Announced is an upstream's own announcement.
	Announced Kind = "Announced"
	// Offered is a configuration from control or from a peer.
	Offered Kind = "Offered"
	// Evacuated is orders for availability zones from control or from a peer.
	Evacuated Kind = "Evacuated"
	// StopPlanned begins the hand-over of all flows.
	StopPlanned Kind = "StopPlanned"
	// Stopped ends it: this balancer says goodbye.
	Stopped Kind = "Stopped"
)

// Event is one thing that happened.
type Event struct {
	Kind     Kind
	From     netip.AddrPort     `json:",omitzero"`
	Data     []byte             `json:",omitempty"`
	Upstream *upstream.Upstream `json:",omitempty"`
	// TokenSha256 is the hex digest of the token shown: a trace holds no secret.
	TokenSha256   string                       `json:",omitempty"`
	Configuration *configuration.Configuration `json:",omitempty"`
	Evacuations   *evacuation.Evacuations      `json:",omitempty"`
}
