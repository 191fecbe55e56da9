package report

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/member/seal"
)

const (
	// maxDatagram keeps datagrams below the MTU of tunnels, so that they are not fragmented.
	maxDatagram = 1200
	// MaxSize is the maximum size of an encoded report or answer: a datagram also holds the byte
	// of the kind and the signature.
	MaxSize = maxDatagram - 1 - seal.Size
	// MaxServices and MaxZones are the maximum numbers in one message.
	MaxServices, MaxZones = maxNames, maxNames
	maxNames              = 32
	// maxName is the maximum length of a name, so that one name cannot fill a datagram.
	maxName = 128
	// maxAge bounds ages and delays on the wire; figures that old are of no use.
	maxAge          = time.Minute
	maxMilliseconds = uint64(maxAge / time.Millisecond)
	// maxCount bounds numbers of balancers and the integers that figures are rounded to, so that
	// sums of thousands of reports do not overflow.
	maxCount = math.MaxInt32
)

// Figures are rounded to multiples of 1/unit. An integer up to 23 is encoded in one byte, up to 255
// in two and up to 65,535 in three.
const (
	slotUnit = 16
	rateUnit = 4
	useUnit  = 100
)

// origin is an address, encoded in binary if it consists of an IP address and a port: 7 bytes
// instead of up to 22.
type origin string

// MarshalCBOR encodes the address as a byte string, or as a text string if it has a host name.
func (o origin) MarshalCBOR() ([]byte, error) {
	if a, err := netip.ParseAddrPort(string(o)); err == nil && a.String() == string(o) {
		b, err := a.MarshalBinary()
		if err != nil {
			return nil, err
		}
		return encoder.Marshal(b)
	}
	return encoder.Marshal(string(o))
}

// UnmarshalCBOR decodes both forms.
func (o *origin) UnmarshalCBOR(data []byte) error {
	var b []byte
	if decoder.Unmarshal(data, &b) != nil {
		return decoder.Unmarshal(data, (*string)(o))
	}
	var a netip.AddrPort
	if err := a.UnmarshalBinary(b); err != nil {
		return err
	}
	*o = origin(a.String())
	return nil
}

// wireReport lists the names of the zones once; the first one is the sender's.
type wireReport struct {
	_              struct{} `cbor:",toarray"`
	Origin         origin
	Life, Sequence uint64
	Age            uint64
	Balancers      uint64
	Use, Delay     uint64
	Partial        bool
	Zones          []string
	Names          []string
	Services       []wireService
}

// wireService is the load of a service. Name is an index into the names of the services. Occupied
// alternates between an index into the names of the zones and the slots; zones without an occupied
// slot are left out.
type wireService struct {
	_        struct{} `cbor:",toarray"`
	Name     uint64
	Occupied []uint64
	// Rates holds the admitted flows by tier, then the rejected ones. Trailing zeros are left out.
	Rates []uint64
}

type wireAnswer struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	Zones    []string
	Names    []string
	Loads    []wireZone
}

type wireZone struct {
	_                struct{} `cbor:",toarray"`
	Zone             uint64
	Age              uint64
	Balancers, Known uint64
	Use, Delay       uint64
	Partial          bool
	Services         []wireService
}

var (
	encoder = func() cbor.EncMode {
		mode, err := cbor.EncOptions{}.EncMode()
		if err != nil {
			panic(err)
		}
		return mode
	}()
	decoder = func() cbor.DecMode {
		mode, err := cbor.DecOptions{
			MaxNestedLevels: 8, MaxArrayElements: MaxSize, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		}.DecMode()
		if err != nil {
			panic(err)
		}
		return mode
	}()
)

// ArrayLengthError reports an array with fewer elements than the message needs.
type ArrayLengthError struct{ Elements, Needed int }

func (e *ArrayLengthError) Error() string {
	return fmt.Sprintf("array of %d elements, %d needed", e.Elements, e.Needed)
}

// decodeArray decodes the elements of an array. It ignores further elements, which later versions
// may append.
func decodeArray(data []byte, elements ...any) error {
	var raw []cbor.RawMessage
	if err := decoder.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw) < len(elements) {
		return &ArrayLengthError{Elements: len(raw), Needed: len(elements)}
	}
	for i, e := range elements {
		if err := decoder.Unmarshal(raw[i], e); err != nil {
			return err
		}
	}
	return nil
}

// UnmarshalCBOR decodes a report and ignores further elements.
func (w *wireReport) UnmarshalCBOR(data []byte) error {
	return decodeArray(data, &w.Origin, &w.Life, &w.Sequence, &w.Age, &w.Balancers, &w.Use, &w.Delay, &w.Partial, &w.Zones, &w.Names, &w.Services)
}

// UnmarshalCBOR decodes a service and ignores further elements.
func (w *wireService) UnmarshalCBOR(data []byte) error {
	return decodeArray(data, &w.Name, &w.Occupied, &w.Rates)
}

// UnmarshalCBOR decodes an answer and ignores further elements.
func (w *wireAnswer) UnmarshalCBOR(data []byte) error {
	return decodeArray(data, &w.Sequence, &w.Zones, &w.Names, &w.Loads)
}

// UnmarshalCBOR decodes a zone and ignores further elements.
func (w *wireZone) UnmarshalCBOR(data []byte) error {
	return decodeArray(data, &w.Zone, &w.Age, &w.Balancers, &w.Known, &w.Use, &w.Delay, &w.Partial, &w.Services)
}

// quantity rounds a figure to a multiple of 1/unit. Invalid figures become 0.
func quantity(figure, unit float64) uint64 {
	if !(figure > 0) {
		return 0
	}
	return uint64(min(math.Round(figure*unit), maxCount))
}

func count(n int) uint64 { return uint64(min(max(n, 0), maxCount)) }

// milliseconds rounds up, so that an age never decreases on its way through several processes.
func milliseconds(d time.Duration) uint64 {
	d = min(max(d, 0), maxAge)
	return uint64((d + time.Millisecond - 1) / time.Millisecond)
}

func duration(ms uint64) time.Duration {
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond
}
