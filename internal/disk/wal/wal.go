package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"

	"github.com/fxamacker/cbor/v2"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/disk/folder"
)

const (
	logFile         = "log"
	snapshotFile    = "snapshot"
	headerSize      = 12
	maxBodySize     = 64 << 20
	headerSumOffset = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a corrupt file and the offset of the first corrupt record.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s; replace this voter's disk and start it with an empty data folder, it receives the state from the other voters", e.File, e.Offset, e.Reason)
}

// FailedError reports a failed disk operation; all later writes fail with it.
type FailedError struct {
	Operation string
	Cause     error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("disk failed at %s: %v; the voter is read-only until it is restarted on a working disk", e.Operation, e.Cause)
}

// Unwrap returns the underlying error.
func (e *FailedError) Unwrap() error { return e.Cause }

// record is the body of one log record.
type record struct {
	_    struct{} `cbor:",toarray"`
	Vote *agreement.Vote
	// Entries are all entries of one write. If a write had two records, a power failure could tear
	// the first record and keep the second, which would look like corruption.
	Entries []agreement.Entry
	Commit  uint64
}

// Log is an open log; it is not safe for concurrent use.
type Log struct {
	folder folder.Folder
	file   folder.File
	size   int64
	failed *FailedError
}

// Open reads the state from a folder and opens its log; an empty folder yields an empty state.
func Open(f folder.Folder) (*Log, agreement.PersistentState, error) {
	var state agreement.PersistentState
	if err := readSnapshot(f, &state); err != nil {
		return nil, state, err
	}
	size, err := readLog(f, &state)
	if err != nil {
		return nil, state, err
	}
	file, err := f.Append(logFile, size)
	if err != nil {
		return nil, state, &FailedError{Operation: "open log", Cause: err}
	}
	l := &Log{folder: f, file: file, size: size}
	if err := l.syncAll(); err != nil {
		return nil, state, err
	}
	return l, state, nil
}

// Close closes the log file.
func (l *Log) Close() error { return l.file.Close() }

// Size returns the length of the log in bytes.
func (l *Log) Size() int64 { return l.size }

func (l *Log) syncAll() error {
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	if err := l.folder.Sync(); err != nil {
		return l.fail("folder sync", err)
	}
	return nil
}

// fail makes all later writes fail. After a failed write or sync, the content of the disk is
// unknown. After a failed encode, a record is missing. In both cases nothing more may be
// acknowledged.
func (l *Log) fail(operation string, err error) error {
	l.failed = &FailedError{Operation: operation, Cause: err}
	return l.failed
}

// Write appends a record with a vote and entries. If p has a snapshot, Write replaces the snapshot and
// the log instead. Write returns once the data is synced.
func (l *Log) Write(p agreement.Persist) error {
	if l.failed != nil {
		return l.failed
	}
	if p.Snapshot != nil {
		return l.compact(p)
	}
	var b []byte
	var err error
	if b, err = appendRecord(b, p); err != nil {
		return l.fail("encode", err)
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := l.file.Write(b); err != nil {
		return l.fail("write", err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", err)
	}
	l.size += int64(len(b))
	return nil
}

// compact replaces the snapshot and then the log. After a crash between the two replacements, the
// log still has entries that the snapshot covers; Open skips these entries.
func (l *Log) compact(p agreement.Persist) error {
	body, err := cbor.Marshal(p.Snapshot)
	if err != nil {
		return l.fail("encode", err)
	}
	if err := l.replace(snapshotFile, appendFrame(nil, body)); err != nil {
		return err
	}
	b, err := appendRecord(nil, p)
	if err != nil {
		return l.fail("encode", err)
	}
	if err := l.replace(logFile, b); err != nil {
		return err
	}
	_ = l.file.Close()
	if l.file, err = l.folder.Append(logFile, int64(len(b))); err != nil {
		return l.fail("open log", err)
	}
	l.size = int64(len(b))
	return nil
}

func (l *Log) replace(name string, b []byte) error {
	if err := folder.Replace(l.folder, name, b); err != nil {
		return l.fail("replace", err)
	}
	return nil
}

func appendRecord(b []byte, p agreement.Persist) ([]byte, error) {
	if p.Vote == nil && len(p.Entries) == 0 && p.Commit == 0 {
		return b, nil
	}
	body, err := cbor.Marshal(record{Vote: p.Vote, Entries: p.Entries, Commit: p.Commit})
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return appendFrame(b, body), nil
}

// appendFrame appends the length of the body, its checksum, a checksum of these two fields, and the
// body.
func appendFrame(b, body []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:start+headerSumOffset], castagnoli))
	return append(b, body...)
}

// parseFrame returns the body of the record at the start of b if the record is complete and valid.
func parseFrame(b []byte) ([]byte, bool) {
	if len(b) < headerSize {
		return nil, false
	}
	if crc32.Checksum(b[:headerSumOffset], castagnoli) != binary.BigEndian.Uint32(b[headerSumOffset:]) {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxBodySize || len(b) < headerSize+n {
		return nil, false
	}
	body := b[headerSize : headerSize+n]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(b[4:])
}

func readSnapshot(f folder.Folder, state *agreement.PersistentState) error {
	b, err := f.ReadFile(snapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FailedError{Operation: "read snapshot", Cause: err}
	}
	body, ok := parseFrame(b)
	if !ok || cbor.Unmarshal(body, &state.Snapshot) != nil {
		return &CorruptError{File: snapshotFile, Reason: "checksum does not match"}
	}
	return nil
}

// readLog applies the records of the log to the state and returns the length of the valid part.
func readLog(f folder.Folder, state *agreement.PersistentState) (int64, error) {
	b, err := f.ReadFile(logFile)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, &FailedError{Operation: "read log", Cause: err}
	}
	offset := 0
	for offset < len(b) {
		body, ok := parseFrame(b[offset:])
		if !ok {
			if containsRecord(b[offset+1:]) {
				return 0, &CorruptError{File: logFile, Offset: int64(offset), Reason: "valid records follow a corrupt one"}
			}
			break
		}
		if err := applyRecord(body, state); err != nil {
			return 0, &CorruptError{File: logFile, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headerSize + len(body)
	}
	return int64(offset), nil
}

// containsRecord reports whether a valid record starts anywhere in b. If so, the corruption before
// this record is not a torn write at the end. Every byte offset is tried, since a corrupt length
// does not show where the next record starts.
func containsRecord(b []byte) bool {
	for i := range b {
		if body, ok := parseFrame(b[i:]); ok && len(body) > 0 {
			return true
		}
	}
	return false
}

func applyRecord(body []byte, state *agreement.PersistentState) error {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	if r.Vote != nil {
		state.Vote = *r.Vote
	}
	state.Commit = max(state.Commit, r.Commit)
	for _, e := range r.Entries {
		if e.Index <= state.Snapshot.Index {
			continue
		}
		if err := state.Put(e); err != nil {
			return err
		}
	}
	return nil
}
