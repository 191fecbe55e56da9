package wal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/disk/fault"
	"wasabideal/internal/disk/wal"
)

// FuzzOpen opens logs with arbitrary content: they are read, truncated or rejected without a panic.
func FuzzOpen(f *testing.F) {
	d := fault.New(1)
	writeEntries(f, d, 3)
	log, err := d.ReadFile("log")
	require.NoError(f, err)
	f.Add(log)
	f.Add(log[:len(log)-3])
	f.Fuzz(func(_ *testing.T, b []byte) {
		d := fault.New(1)
		file, err := d.Create("log")
		if err != nil {
			return
		}
		_, _ = file.Write(b)
		_, _, _ = wal.Open(d)
	})
}
