package socket

import (
	"fmt"

	"wasabideal/internal/member/seal"
	"wasabideal/internal/zoneload/report"
)

// MaxSize is the maximum length in bytes of a datagram without the headers of IP and UDP.
const MaxSize = 1 + report.MaxSize + seal.Size

// group separates these datagrams from those of other protocols that use the same token.
const group = "zoneload"

// The kinds of datagrams.
const (
	kindReport = 1
	kindAnswer = 2
)

// OversizeError reports a message that exceeds MaxSize.
type OversizeError struct{ Size int }

func (e *OversizeError) Error() string {
	return fmt.Sprintf("load message of %d bytes exceeds the limit of %d", e.Size, MaxSize)
}

// KindError reports a datagram of unknown kind, which a newer build may send.
type KindError struct{ Kind byte }

func (e *KindError) Error() string { return fmt.Sprintf("unknown kind %d of load message", e.Kind) }

// Message is a received datagram: a report or an answer, the other one is nil.
type Message struct {
	Report *report.Report
	Answer *report.Answer
}

// NewSigner returns the signer of datagrams for a token.
func NewSigner(token string) seal.Signer { return seal.New(token, group) }

// Decode verifies and decodes a datagram. It fails with an OversizeError, a KindError, a
// seal.BrokenError or a report.DecodeError.
func Decode(s seal.Signer, data []byte) (Message, error) {
	switch {
	case len(data) > MaxSize:
		return Message{}, &OversizeError{Size: len(data)}
	case len(data) == 0:
		return Message{}, seal.BrokenError{}
	case data[0] != kindReport && data[0] != kindAnswer:
		return Message{}, &KindError{Kind: data[0]}
	}
	body, err := s.Verify(data)
	if err != nil {
		return Message{}, err
	}
	if body[0] == kindReport {
		r, err := report.DecodeReport(body[1:])
		return Message{Report: &r}, err
	}
	a, err := report.DecodeAnswer(body[1:])
	return Message{Answer: &a}, err
}

// EncodeReport returns the datagram of a report, or a report.SizeError.
func EncodeReport(s seal.Signer, r report.Report) ([]byte, error) {
	body, err := r.Encode()
	if err != nil {
		return nil, err
	}
	return signed(s, kindReport, body), nil
}

func signed(s seal.Signer, kind byte, body []byte) []byte {
	return s.Sign(append([]byte{kind}, body...))
}
