package feed

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// responseCache caches one encoded response together with the key that it depends on.
type responseCache[K comparable] struct {
	key  K
	at   time.Time
	body cbor.RawMessage
}

// get returns the cached response, or builds and encodes a new one if the key differs or the cached
// response has expired.
func (e *responseCache[K]) get(now time.Time, key K, build func() any) (cbor.RawMessage, error) {
	if e.body != nil && e.key == key && now.Sub(e.at) < encodedTTL {
		return e.body, nil
	}
	body, err := cbor.Marshal(build())
	if err != nil {
		return nil, err
	}
	*e = responseCache[K]{key: key, at: now, body: body}
	return body, nil
}
