package report

import "fmt"

// DecodeError reports a message that is not a valid report or answer. The receiver counts and drops
// it.
type DecodeError struct {
	// Field is the invalid part of the message.
	Field string
	// Cause is the error of the CBOR decoder, nil if the value itself is out of range.
	Cause error
}

func (e *DecodeError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("load message: %s out of range", e.Field)
	}
	return fmt.Sprintf("load message: %s: %v", e.Field, e.Cause)
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// SizeError reports a message that exceeds MaxSize even without any service. Its names are too
// long; shorten the names of availability zones.
type SizeError struct{ Size int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("load message of %d bytes exceeds %d: shorten the names of availability zones", e.Size, MaxSize)
}
