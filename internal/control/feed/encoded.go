package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// encodedFor is how long an encoded answer is used again. After a loss of power
// everywhere all balancers ask for the same within some ms; 81 of them waited 90 ms for a
// voter on half a core that encoded 220 upstreams and 70 routes for each anew. Ages in
// it are that much too small.
const encodedFor = 20 * time.Millisecond

// encoded is an answer that was encoded lately, by what it depends on.
type encoded[K comparable] struct {
	key  K
	at   time.Time
	body cbor.RawMessage
}

// get returns the encoded answer, made anew where the key is another or it is too old.
func (e *encoded[K]) get(now time.Time, key K, build func() any) (cbor.RawMessage, error) {
	if e.body != nil && e.key == key && now.Sub(e.at) < encodedFor {
		return e.body, nil
	}
	body, err := cbor.Marshal(build())
	if err != nil {
		return nil, err
	}
	*e = encoded[K]{key: key, at: now, body: body}
	return body, nil
}
