package report

import (
	"encoding/binary"
	"slices"
)

// Prepared holds the encoded load of all zones, from which the answers to many reports are put
// together. A voter that encoded each answer separately used half of a core for 72 senders.
type Prepared struct {
	zones []Zone
	// tables are the encoded names of zones and services. It is nil if they exceed the limits of a
	// message; each answer is then encoded separately.
	tables  []byte
	encoded []preparedZone
}

// preparedZone is the encoded load of a zone for receivers in that zone, and for others.
type preparedZone struct{ full, condensed []byte }

// preparedHeader is the maximum length of an answer without tables and zones: the array, the
// sequence and the array of zones.
const preparedHeader = 1 + 9 + 2

// Prepare encodes the load of zones.
func Prepare(zones []Zone) (Prepared, error) {
	p := Prepared{zones: zones}
	zoneNames, serviceNames := newNames(), newNames()
	for _, z := range zones {
		zoneNames.index(z.Name)
	}
	for _, z := range zones {
		full, err := encoder.Marshal(newWireZone(z, zoneNames, serviceNames))
		if err != nil {
			return p, err
		}
		// The figures of other zones that no decision reads are left out, as in Condensed.
		z.Link, z.Services = Link{}, condensedServices(z)
		condensed, err := encoder.Marshal(newWireZone(z, zoneNames, serviceNames))
		if err != nil {
			return p, err
		}
		p.encoded = append(p.encoded, preparedZone{full: full, condensed: condensed})
	}
	if len(zoneNames.list) > MaxZones || len(serviceNames.list) > MaxServices {
		return p, nil
	}
	tables, err := encoder.Marshal(preparedTables{Zones: zoneNames.list, Names: serviceNames.list})
	if err != nil {
		return p, err
	}
	for _, z := range p.encoded {
		if preparedHeader+len(tables)+len(z.full) > MaxSize {
			return p, nil
		}
	}
	p.tables = tables[1:] // without the head of the array
	return p, nil
}

type preparedTables struct {
	_     struct{} `cbor:",toarray"`
	Zones []string
	Names []string
}

func newWireZone(z Zone, zones, names *names) wireZone {
	return wireZone{
		Zone: zones.index(z.Name), Age: milliseconds(z.Age), Balancers: count(z.Balancers), Known: count(z.Known),
		Use: quantity(z.Link.Use, useUnit), Delay: milliseconds(z.Link.Delay), Partial: z.Partial,
		Services: encodeServices(slices.DeleteFunc(slices.Clone(z.Services), Service.unused), zones, names),
	}
}

// Encode returns the encoded answer to a report with the given sequence of a sender in the zone own.
// It consists of several messages if it exceeds MaxSize, and of one if there are no zones.
func (p Prepared) Encode(sequence uint64, own string) ([][]byte, error) {
	if len(p.zones) == 0 {
		b, err := encoder.Marshal(wireAnswer{Sequence: sequence})
		return [][]byte{b}, err
	}
	if p.tables == nil {
		return p.encodeSeparately(sequence, own)
	}
	var out [][]byte
	var part [][]byte
	size := preparedHeader + len(p.tables)
	flush := func() {
		b := arrayHead(make([]byte, 0, size), 4) // the elements of wireAnswer
		b = append(unsigned(b, sequence), p.tables...)
		b = arrayHead(b, len(part))
		for _, z := range part {
			b = append(b, z...)
		}
		out, part, size = append(out, b), nil, preparedHeader+len(p.tables)
	}
	for i, z := range p.encoded {
		b := z.condensed
		if p.zones[i].Name == own {
			b = z.full
		}
		if size+len(b) > MaxSize {
			flush()
		}
		part, size = append(part, b), size+len(b)
	}
	flush()
	return out, nil
}

// arrayHead appends the head of an array of up to 255 elements.
func arrayHead(b []byte, n int) []byte {
	if n < 24 {
		return append(b, 0x80|byte(n))
	}
	return append(b, 0x98, byte(n))
}

// unsigned appends an integer, always in nine bytes.
func unsigned(b []byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64(append(b, 0x1b), n)
}

func (p Prepared) encodeSeparately(sequence uint64, own string) ([][]byte, error) {
	var out [][]byte
	for _, a := range (Answer{Sequence: sequence, Zones: p.zones}).Condensed(own).Split() {
		b, err := a.Encode()
		if err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}
