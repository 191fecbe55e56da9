package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/disk/fault"
	"wasabideal/internal/disk/wal"
)

func entry(i uint64) agreement.Entry {
	return agreement.Entry{Index: i, Term: 1, Data: []byte{byte(i)}}
}

func writeEntries(t require.TestingT, f *fault.Folder, n uint64) *wal.Log {
	w, _, err := wal.Open(f)
	require.NoError(t, err)
	for i := uint64(1); i <= n; i++ {
		require.NoError(t, w.Write(agreement.Persist{Entries: []agreement.Entry{entry(i)}}))
	}
	return w
}

// A power failure in the middle of a write leaves a partial record at the end of the log. Guards
// against a voter that does not start with this log.
func TestTornWriteAtTheEndIsTruncated(t *testing.T) {
	f := fault.New(1)
	w := writeEntries(t, f, 5)
	size := w.Size()
	b, err := f.ReadFile("log")
	require.NoError(t, err)
	file, err := f.Append("log", size)
	require.NoError(t, err)
	_, err = file.Write(b[:9])
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	w, d, err := wal.Open(f)
	require.NoError(t, err)
	require.Len(t, d.Entries, 5)
	require.Equal(t, size, w.Size())
}

// A bit flips in an early record of the log. If this corruption were treated as a torn write at the
// end, a restart would lose acknowledged changes.
func TestCorruptionBeforeTheEndIsReportedWithItsOffset(t *testing.T) {
	for offset := range 40 {
		f := fault.New(1)
		writeEntries(t, f, 5)
		f.Corrupt("log", offset)
		_, _, err := wal.Open(f)
		var corrupt *wal.CorruptError
		require.ErrorAs(t, err, &corrupt, "byte %d", offset)
		require.Equal(t, "log", corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(offset))
	}
}

// The disk is full during one write and has space again for later writes. If the later writes
// succeeded, their records would follow a partial record and could not be read, and accepted
// changes would be lost.
func TestWritesFailAfterOneFailure(t *testing.T) {
	f := fault.New(1)
	w := writeEntries(t, f, 2)
	f.FailAt, f.FailOnce = f.Operations+1, true
	var failed *wal.FailedError
	require.ErrorAs(t, w.Write(agreement.Persist{Entries: []agreement.Entry{entry(3)}}), &failed)
	require.ErrorAs(t, w.Write(agreement.Persist{Entries: []agreement.Entry{entry(3)}}), &failed)
}

// TestCrashKeepsAcknowledgedEntries crashes at a random operation during writes and
// compactions, and reopens the log.
func TestCrashKeepsAcknowledgedEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fault.New(rapid.Uint64().Draw(t, "seed"))
		w := writeEntries(t, f, 1)
		f.FailAt = f.Operations + rapid.IntRange(1, 40).Draw(t, "crash")
		synced, snapshot := uint64(1), uint64(0)
		for i := uint64(2); ; i++ {
			p := agreement.Persist{Entries: []agreement.Entry{entry(i)}, Vote: &agreement.Vote{Term: i}}
			if rapid.IntRange(0, 3).Draw(t, "compact") == 0 {
				p.Snapshot = &agreement.Snapshot{Index: i - 1, Term: 1}
			}
			if w.Write(p) != nil {
				break
			}
			synced = i
			if p.Snapshot != nil {
				snapshot = i - 1
			}
		}
		f.Crash()
		_, d, err := wal.Open(f)
		require.NoError(t, err)
		require.GreaterOrEqual(t, d.Snapshot.Index, snapshot)
		last := d.Snapshot.Index + uint64(len(d.Entries))
		require.GreaterOrEqual(t, last, synced)
		require.GreaterOrEqual(t, d.Vote.Term, synced*min(synced-1, 1))
	})
}
