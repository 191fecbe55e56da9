package run

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A run in which ordinary flows are preferred must be reported, and one in which chance alone favours
// them must not.
func TestPriorityViolationExceedsChance(t *testing.T) {
	for _, x := range []struct {
		name             string
		urgent, ordinary Attempts
		violated         bool
	}{
		{"urgent preferred", Attempts{All: 1000, Served: 900}, Attempts{All: 1000, Served: 400}, false},
		{"ordinary preferred", Attempts{All: 1000, Served: 400}, Attempts{All: 1000, Served: 500}, true},
		{"ordinary ahead by chance", Attempts{All: 1000, Served: 480}, Attempts{All: 1000, Served: 520}, false},
		{"few flows", Attempts{All: 20, Served: 8}, Attempts{All: 20, Served: 12}, false},
		{"no flows", Attempts{}, Attempts{}, false},
		{"all served", Attempts{All: 50, Served: 50}, Attempts{All: 50, Served: 50}, false},
		{"urgent not served at all", Attempts{All: 50, Served: 0}, Attempts{All: 50, Served: 50}, true},
	} {
		_, violated := priorityViolated(x.urgent, x.ordinary)
		require.Equal(t, x.violated, violated, x.name)
	}
}
