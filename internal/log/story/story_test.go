package story_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/log/story"
)

var update = flag.Bool("update", false, "update the golden files")

func readAll(t *testing.T) story.Timeline {
	var s story.Timeline
	for _, name := range []string{"balancer.log", "voter.log"} {
		f, err := os.Open(filepath.Join("testdata", name))
		require.NoError(t, err)
		s, err = s.Read(name, f)
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	return s
}

func TestTimelines(t *testing.T) {
	for _, c := range []struct {
		name  string
		query story.Query
	}{
		{"suspected_upstream", story.Query{Caller: "100.64.0.1:40001"}},
		{"departed_upstream", story.Query{Caller: "100.64.0.2:40002"}},
		{"no_route", story.Query{Caller: "100.64.0.3:40003"}},
		{"overload", story.Query{Caller: "100.64.0.4:40004"}},
		{"use_of_all_zones", story.Query{Caller: "100.64.0.5:40005"}},
		{"copy_dropped_by_use", story.Query{Caller: "100.64.0.6:40006"}},
		{"link_delay", story.Query{Caller: "100.64.0.7:40007"}},
		{"spilled", story.Query{Caller: "100.64.0.8:40008"}},
		{"incarnation", story.Query{Incarnation: "b2"}},
		{"revision", story.Query{Revision: 5}},
		{"revision_not_accepted", story.Query{Revision: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			require.NoError(t, readAll(t).Write(&out, c.query))
			golden := filepath.Join("testdata", c.name+".golden.txt")
			if *update {
				require.NoError(t, os.WriteFile(golden, out.Bytes(), 0o600))
			}
			want, err := os.ReadFile(golden)
			require.NoError(t, err)
			require.Equal(t, string(want), out.String())
		})
	}
}

func TestUnknownIdsAndFilesWithoutLogLinesAreRejected(t *testing.T) {
	var empty *story.EmptyError
	require.ErrorAs(t, readAll(t).Write(&bytes.Buffer{}, story.Query{Caller: "100.64.9.9:1"}), &empty)
	var none *story.NoLinesError
	_, err := story.Timeline{}.Read("notes.txt", strings.NewReader("no lines\n{}\n"))
	require.ErrorAs(t, err, &none)
}
