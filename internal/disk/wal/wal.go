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
	logFile      = "log"
	snapFile     = "snapshot"
	headSize     = 12
	bodyLimit    = 64 << 20
	headSumStart = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError says where a file is damaged.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; replace this voter's disk and start it empty, the others will fill it", e.File, e.Offset, e.Reason)
}

// FailedError says that the disk refused an operation; nothing more is written.
type FailedError struct {
	Operation string
	Cause     error
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("disk failed at %s: %v; the voter is read-only until it is restarted on a working disk", e.Operation, e.Cause)
}

// Unwrap returns the disk's own error.
func (e *FailedError) Unwrap() error { return e.Cause }

// record is the body of one log record.
type record struct {
	_    struct{} `cbor:",toarray"`
	Vote *agreement.Vote
	// Entries are those of one write. They share a record: of two records in
	// one write a loss of power may keep the second and tear the first, which
	// could not be told from damage.
	Entries []agreement.Entry
	Commit  uint64
}

// Wal is an open log; one goroutine owns it.
type Wal struct {
	folder folder.Folder
	file   folder.File
	size   int64
	failed *FailedError
}

// Open reads what the folder holds; an empty one gives an empty state.
func Open(f folder.Folder) (*Wal, agreement.Durable, error) {
	var state agreement.Durable
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
	w := &Wal{folder: f, file: file, size: size}
	if err := w.syncAll(); err != nil {
		return nil, state, err
	}
	return w, state, nil
}

// Close gives the log's file back; what was written stays.
func (w *Wal) Close() error { return w.file.Close() }

// Size returns the length of the log in bytes.
func (w *Wal) Size() int64 { return w.size }

func (w *Wal) syncAll() error {
	if err := w.file.Sync(); err != nil {
		return w.fail("sync", err)
	}
	if err := w.folder.Sync(); err != nil {
		return w.fail("folder sync", err)
	}
	return nil
}

// fail makes every later write fail too: after a failed sync nobody knows what
// the disk holds, so nothing may be acknowledged any more.
func (w *Wal) fail(operation string, err error) error {
	w.failed = &FailedError{Operation: operation, Cause: err}
	return w.failed
}

// Write appends a vote and entries, and returns once they are synced.
func (w *Wal) Write(p agreement.Persist) error {
	if w.failed != nil {
		return w.failed
	}
	if p.Snapshot != nil {
		return w.compact(p)
	}
	var b []byte
	var err error
	if b, err = appendRecord(b, p); err != nil {
		return w.fail("encode", err)
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := w.file.Write(b); err != nil {
		return w.fail("write", err)
	}
	if err := w.file.Sync(); err != nil {
		return w.fail("sync", err)
	}
	w.size += int64(len(b))
	return nil
}

// compact replaces the snapshot and then the log; a crash in between leaves
// entries that the snapshot covers, which the next Open skips.
func (w *Wal) compact(p agreement.Persist) error {
	body, err := cbor.Marshal(p.Snapshot)
	if err != nil {
		return w.fail("encode", err)
	}
	if err := w.replace(snapFile, appendFramed(nil, body)); err != nil {
		return err
	}
	b, err := appendRecord(nil, p)
	if err != nil {
		return w.fail("encode", err)
	}
	if err := w.replace(logFile, b); err != nil {
		return err
	}
	_ = w.file.Close()
	if w.file, err = w.folder.Append(logFile, int64(len(b))); err != nil {
		return w.fail("open log", err)
	}
	w.size = int64(len(b))
	return nil
}

func (w *Wal) replace(name string, b []byte) error {
	if err := folder.Replace(w.folder, name, b); err != nil {
		return w.fail("replace", err)
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
	return appendFramed(b, body), nil
}

// appendFramed writes length, sum of the body, sum of those two, and the body.
func appendFramed(b, body []byte) []byte {
	start := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:start+headSumStart], castagnoli))
	return append(b, body...)
}

// framed returns the body of the record at the start of b, if it is whole.
func framed(b []byte) ([]byte, bool) {
	if len(b) < headSize {
		return nil, false
	}
	if crc32.Checksum(b[:headSumStart], castagnoli) != binary.BigEndian.Uint32(b[headSumStart:]) {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > bodyLimit || len(b) < headSize+n {
		return nil, false
	}
	body := b[headSize : headSize+n]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(b[4:])
}

func readSnapshot(f folder.Folder, state *agreement.Durable) error {
	b, err := f.ReadFile(snapFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FailedError{Operation: "read snapshot", Cause: err}
	}
	body, ok := framed(b)
	if !ok || cbor.Unmarshal(body, &state.Snapshot) != nil {
		return &CorruptError{File: snapFile, Reason: "checksum does not match"}
	}
	return nil
}

// readLog returns the length of the log's whole records.
func readLog(f folder.Folder, state *agreement.Durable) (int64, error) {
	b, err := f.ReadFile(logFile)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, &FailedError{Operation: "read log", Cause: err}
	}
	offset := 0
	for offset < len(b) {
		body, ok := framed(b[offset:])
		if !ok {
			if holdsRecord(b[offset+1:]) {
				return 0, &CorruptError{File: logFile, Offset: int64(offset), Reason: "whole records follow a damaged one"}
			}
			break
		}
		if err := readRecord(body, state); err != nil {
			return 0, &CorruptError{File: logFile, Offset: int64(offset), Reason: err.Error()}
		}
		offset += headSize + len(body)
	}
	return int64(offset), nil
}

// holdsRecord says whether a whole record starts anywhere in b: then the damage
// before it is no torn end. The search is byte by byte, since a damaged length
// says nothing about where the next record begins.
func holdsRecord(b []byte) bool {
	for i := range b {
		if body, ok := framed(b[i:]); ok && len(body) > 0 {
			return true
		}
	}
	return false
}

func readRecord(body []byte, state *agreement.Durable) error {
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
