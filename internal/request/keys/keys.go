package keys

import (
	"fmt"
	"time"

	"wasabideal/internal/model/roster"
)

// State is the state of a key's request.
type State uint8

// The states of a key; a higher one overrides a lower one.
const (
	// Claimed means that an attempt may send the request, or already has.
	Claimed State = iota + 1
	// Answered means that the request ran. Record.Answer holds the response, without the body
	// if that is too large to store.
	Answered
)

// Answer is the stored part of an upstream's response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Whole is false if the body was too large to store.
	Whole bool
}

// Record describes a key in use.
type Record struct {
	Service, Key string
	// Attempt identifies the attempt that may release the record.
	Attempt string
	// Fingerprint is a hash of the request; a different request may not use the key.
	Fingerprint uint64
	State       State
	Answer      *Answer
	// Made is the time of the claim. The record expires when the Store's window has passed
	// since then.
	Made time.Time
}

// FullError reports that the store is full. Evicting a key before its window has passed
// could let a request run twice.
type FullError struct{ Limit int }

func (e *FullError) Error() string {
	return fmt.Sprintf("%d request keys are in use within the window; raise MaxKeys or send less", e.Limit)
}

// EpochError reports a claim whose roster epoch, Claim, differs from this balancer's, Here.
type EpochError struct{ Claim, Here uint64 }

func (e *EpochError) Error() string {
	return fmt.Sprintf("claim under epoch %d, this balancer is at %d", e.Claim, e.Here)
}

// Store keeps each record for a fixed time after its claim, the window. It is not safe for
// concurrent use.
type Store struct {
	window  time.Duration
	limit   int
	epoch   uint64
	records map[recordKey]*Record
}

type recordKey struct{ service, key string }

// New returns an empty store for at most limit keys.
func New(window time.Duration, limit int) *Store {
	return &Store{window: window, limit: limit, records: map[recordKey]*Record{}}
}

// Len returns the number of stored keys.
func (s *Store) Len() int { return len(s.records) }

// SetEpoch sets the epoch of a newer roster; claims with another epoch are rejected.
func (s *Store) SetEpoch(epoch uint64) { s.epoch = max(s.epoch, epoch) }

// Claim creates a record, or returns the existing record of the key.
func (s *Store) Claim(now time.Time, epoch uint64, r Record) (Record, error) {
	if epoch != s.epoch {
		return Record{}, &EpochError{Claim: epoch, Here: s.epoch}
	}
	id := recordKey{r.Service, r.Key}
	if old, ok := s.records[id]; ok && now.Sub(old.Made) < s.window {
		return *old, nil
	}
	if len(s.records) >= s.limit {
		return Record{}, &FullError{Limit: s.limit}
	}
	r.State, r.Made = Claimed, now
	s.records[id] = &r
	return r, nil
}

// Release deletes a record that was created by the attempt and is still Claimed.
func (s *Store) Release(service, key, attempt string) {
	id := recordKey{service, key}
	if r, ok := s.records[id]; ok && r.Attempt == attempt && r.State == Claimed {
		delete(s.records, id)
	}
}

// Finish stores the response to a key's request, unless another attempt holds the key.
func (s *Store) Finish(now time.Time, r Record) {
	id := recordKey{r.Service, r.Key}
	if old, ok := s.records[id]; ok && old.Attempt != r.Attempt {
		return
	}
	r.State = Answered
	if r.Made.IsZero() {
		r.Made = now
	}
	s.records[id] = &r
}

// Merge adds records from another balancer. Of two records of a key, the one with the higher
// state is kept.
func (s *Store) Merge(rs []Record) {
	for _, r := range rs {
		id := recordKey{r.Service, r.Key}
		if old, ok := s.records[id]; !ok || r.State > old.State {
			x := r
			s.records[id] = &x
		}
	}
}

// Expire deletes records older than the window.
func (s *Store) Expire(now time.Time) {
	for id, r := range s.records {
		if now.Sub(r.Made) >= s.window {
			delete(s.records, id)
		}
	}
}

// Transfers returns, by member, the records that the member must store under the
// current roster and may lack.
func (s *Store) Transfers(v roster.View, self roster.Member) map[roster.Member][]Record {
	transfers := map[roster.Member][]Record{}
	for _, r := range s.records {
		for _, m := range v.Current(roster.Slot(r.Service, r.Key)) {
			if m.Name != self.Name {
				transfers[m] = append(transfers[m], *r)
			}
		}
	}
	return transfers
}
