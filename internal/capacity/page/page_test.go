package page_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/capacity/page"
)

// A formula is changed without a new page, or a figure is edited by hand. Guards against a page
// that then does not match the slopes file.
func TestPageMatchesSlopes(t *testing.T) {
	slopes, err := os.ReadFile("../../../docs/capacity/slopes.json")
	require.NoError(t, err)
	want, err := os.ReadFile("../../../docs/CAPACITY.md")
	require.NoError(t, err)
	p, err := page.Read(slopes)
	require.NoError(t, err)
	if string(want) != string(p.Render()) {
		t.Fatal("docs/CAPACITY.md does not match the slopes; run: go run . capacity --no-measure")
	}
}

func TestMissingSlopeIsReported(t *testing.T) {
	_, err := page.Read([]byte(`{"Slopes":[]}`))
	var missing *page.MissingError
	require.ErrorAs(t, err, &missing)
	require.Equal(t, "FlowBytes", missing.Name)
}
