package upstream

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// wireUpstream is an upstream as records and messages hold it where it says no start.
type wireUpstream struct {
	_ struct{} `cbor:",toarray"`
	Identity
	Zone     string
	Door     string
	Slots    uint16
	Sequence uint64
	State    State
}

// wireBorn is the whole upstream, with the start that earlier versions did not know.
type wireBorn Upstream

// fieldsWithBorn is the number of fields of wireBorn, with those of the identity.
const fieldsWithBorn = 9

// cborArray is the first byte of an array of no element (RFC 8949, major type 4).
const cborArray = 0x80

// MarshalCBOR writes the form without a start where there is none, so that processes of
// earlier versions read it during an upgrade.
func (u Upstream) MarshalCBOR() ([]byte, error) {
	if u.Born == 0 {
		return cbor.Marshal(wireUpstream{
			Identity: u.Identity, Zone: u.Zone, Door: u.Door, Slots: u.Slots, Sequence: u.Sequence, State: u.State,
		})
	}
	return cbor.Marshal(wireBorn(u))
}

// UnmarshalCBOR reads either form.
func (u *Upstream) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == cborArray|fieldsWithBorn {
		var w wireBorn
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
