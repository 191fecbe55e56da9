package table_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wasabideal/internal/flow/key"
	"wasabideal/internal/flow/table"
)

// TestTableAgreesWithMap applies random inserts and removes to a table and a map. The table is
// small, so that probe sequences wrap around its end.
func TestTableAgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := table.New(40)
		model := map[key.Key]uint32{}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			k := key.Key{SourcePort: uint16(rapid.IntRange(0, 60).Draw(t, "port"))}
			e := tab.Find(k, k.Hash())
			v, ok := model[k]
			if (e != nil) != ok || e != nil && e.Upstream != v {
				t.Fatalf("table and model differ at step %d", i)
			}
			switch {
			case ok:
				if !tab.Remove(k, k.Hash()) {
					t.Fatalf("entry to remove not found")
				}
				delete(model, k)
			case len(model) < 40:
				_, err := tab.Insert(table.Entry{Key: k, State: table.Established, Upstream: uint32(i)}, k.Hash(), 0)
				if err != nil {
					t.Fatal(err)
				}
				model[k] = uint32(i)
			}
		}
		require.Equal(t, len(model), tab.Len())
		for k, v := range model {
			require.Equal(t, v, tab.Find(k, k.Hash()).Upstream)
		}
	})
}
