package upstream

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// wireUpstream is the encoding of an upstream without a start time in records and messages.
type wireUpstream struct {
	_ struct{} `cbor:",toarray"`
	Identity
	Zone     string
	Door     string
	Slots    uint16
	Sequence uint64
	State    State
}

// wireUpstreamWithBorn is the encoding with a start time, which earlier versions do not support.
type wireUpstreamWithBorn Upstream

// fieldsWithBorn is the number of fields of wireUpstreamWithBorn, including those of the identity.
const fieldsWithBorn = 9

// cborArray is the initial byte of an empty array (RFC 8949, major type 4).
const cborArray = 0x80

// MarshalCBOR omits a start time of 0, so that processes of earlier versions can decode
// the upstream during an upgrade.
func (u Upstream) MarshalCBOR() ([]byte, error) {
	if u.Born == 0 {
		return cbor.Marshal(wireUpstream{
			Identity: u.Identity, Zone: u.Zone, Door: u.Door, Slots: u.Slots, Sequence: u.Sequence, State: u.State,
		})
	}
	return cbor.Marshal(wireUpstreamWithBorn(u))
}

// UnmarshalCBOR decodes an upstream with or without a start time.
func (u *Upstream) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == cborArray|fieldsWithBorn {
		var w wireUpstreamWithBorn
		if err := cbor.Unmarshal(data, &w); err != nil {
			return fmt.Errorf("decode upstream: %w", err)
		}
		*u = Upstream(w)
		return nil
	}
	var w wireUpstream
	if err := cbor.Unmarshal(data, &w); err != nil {
		return fmt.Errorf("decode upstream: %w", err)
	}
	*u = Upstream{Identity: w.Identity, Zone: w.Zone, Door: w.Door, Slots: w.Slots, Sequence: w.Sequence, State: w.State}
	return nil
}
