package measure

import (
	"fmt"
	"os"
	"time"

	"wasabideal/internal/control/agreement"
	"wasabideal/internal/control/ledger"
	"wasabideal/internal/disk/local"
	"wasabideal/internal/disk/wal"
)

func controlMeasurements() []Measurement {
	changes := []float64{500, 5000, 50_000}
	return []Measurement{
		{Name: LogBytes, Per: "change since the snapshot", Unit: "bytes on disk", Sizes: changes, Measure: func(n float64) (float64, error) {
			l, err := measureLog(int(n))
			return l.bytes, err
		}},
		{Name: RecoveryMillis, Per: "change since the snapshot", Unit: "ms to recover", Sizes: changes, Measure: func(n float64) (float64, error) {
			l, err := measureLog(int(n))
			return l.recovery, err
		}},
		{Name: AcceptMicros, Per: "change in one write", Unit: "us to sync", Sizes: []float64{1, 16, 64}, Measure: syncMicros},
	}
}

// logCost is the size of a log in bytes and its recovery time in milliseconds.
type logCost struct{ bytes, recovery float64 }

// batchSize is the number of entries in one write.
const batchSize = 256

func encodeChange(i int) ([]byte, error) {
	return ledger.Encode(ledger.Change{
		ChangeKey: fmt.Sprintf("change-%d", i), ExpectRevision: uint64(i), UsePreset: []string{"ordinary", "peak"}[i%2],
		Who: "operator", When: epoch,
	})
}

// entries returns n log entries, of which the first holds change number from.
func entries(from, n int) ([]agreement.Entry, error) {
	es := make([]agreement.Entry, 0, n)
	for i := from; i < from+n; i++ {
		data, err := encodeChange(i)
		if err != nil {
			return nil, err
		}
		es = append(es, agreement.Entry{Index: uint64(i + 1), Term: 1, Data: data})
	}
	return es, nil
}

// withTempFolder calls f with a temporary folder and then removes the folder.
func withTempFolder(f func(*local.Folder) error) error {
	path, err := os.MkdirTemp("", "wasabideal-measure-")
	if err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(path) }()
	d, err := local.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return f(d)
}

// measureLog writes n changes and measures the size of the log. Then it measures the time to read
// and apply the changes, as on a restart.
func measureLog(n int) (logCost, error) {
	var out logCost
	err := withTempFolder(func(d *local.Folder) error {
		w, _, err := wal.Open(d)
		if err != nil {
			return err
		}
		for at := 0; at < n; at += batchSize {
			es, err := entries(at, min(batchSize, n-at))
			if err != nil {
				return err
			}
			if err := w.Write(agreement.Persist{Entries: es}); err != nil {
				return err
			}
		}
		out.bytes = float64(w.Size())
		start := time.Now()
		_, state, err := wal.Open(d)
		if err != nil {
			return err
		}
		l := ledger.New()
		for _, e := range state.Entries {
			l.Apply(e.Data)
		}
		out.recovery = float64(time.Since(start).Microseconds()) / 1000
		return nil
	})
	return out, err
}

// syncMicros returns the time, in microseconds, to write and sync the given number of entries at once.
func syncMicros(size float64) (float64, error) {
	var t float64
	err := withTempFolder(func(d *local.Folder) error {
		w, _, err := wal.Open(d)
		if err != nil {
			return err
		}
		at := 0
		var writeErr error
		t = nanos(1, func() {
			es, err := entries(at, int(size))
			at += int(size)
			if err == nil {
				err = w.Write(agreement.Persist{Entries: es})
			}
			if err != nil {
				writeErr = err
			}
		}) / float64(time.Microsecond)
		return writeErr
	})
	return t, err
}
