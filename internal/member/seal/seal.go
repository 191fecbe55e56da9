package seal

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Size is the length in bytes of a signature, a truncated HMAC.
const Size = 8

// Signer signs and verifies datagrams with a truncated HMAC-SHA-256.
type Signer struct{ key []byte }

// BrokenError reports that a datagram was not signed with the group's token.
type BrokenError struct{}

func (BrokenError) Error() string {
	return "signature does not match; check that GroupToken and Group are the same in all settings"
}

// New returns the Signer of a group. Two groups with the same token reject each other's
// datagrams.
func New(token, group string) Signer { return Signer{key: []byte(token + "\x00" + group)} }

// Sign appends a signature to b.
func (s Signer) Sign(b []byte) []byte { return append(b, s.signature(b)...) }

// Verify verifies the signature and returns b without it, or a BrokenError.
func (s Signer) Verify(b []byte) ([]byte, error) {
	if len(b) < Size {
		return nil, BrokenError{}
	}
	body := b[:len(b)-Size]
	if !hmac.Equal(s.signature(body), b[len(b)-Size:]) {
		return nil, BrokenError{}
	}
	return body, nil
}

func (s Signer) signature(b []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(b)
	return m.Sum(nil)[:Size]
}
