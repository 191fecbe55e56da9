package followers_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/log/followers"
)

var update = flag.Bool("update", false, "update the golden files")

func TestTableOfAZone(t *testing.T) {
	log, err := os.Open("testdata/balancers.log")
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	f := followers.New()
	require.NoError(t, f.Read(log))
	var b bytes.Buffer
	require.NoError(t, f.WriteTable(&b))
	const golden = "testdata/table.golden.txt"
	if *update {
		require.NoError(t, os.WriteFile(golden, b.Bytes(), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), b.String())
}

func TestLogWithoutBalancers(t *testing.T) {
	f := followers.New()
	require.NoError(t, f.Read(strings.NewReader("panic: not a log line\n{\"@message\":\"flow\"}\n")))
	var empty *followers.EmptyError
	require.ErrorAs(t, f.WriteTable(&bytes.Buffer{}), &empty)
}
