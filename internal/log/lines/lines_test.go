package lines_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/log/lines"
)

func TestPrefixesAndOtherLinesAreSkipped(t *testing.T) {
	var read []string
	log := "  6.1 entry-a-1 {\"a\":1}\nnot a log line\n{\"b\":2}\n"
	require.NoError(t, lines.Read(strings.NewReader(log), func(line []byte) { read = append(read, string(line)) }))
	require.Equal(t, []string{`{"a":1}`, `{"b":2}`}, read)
}
