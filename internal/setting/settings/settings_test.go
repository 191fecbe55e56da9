package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/setting/check"
	"wasabideal/internal/setting/defaults"
	"wasabideal/internal/setting/settings"
)

const minimal = `Name = "b1"
Zone = "Adabiya"
GroupToken = "group-token-000001"
OperatorToken = "operator-token-0001"
`

func TestCheckReportsInvalidKeys(t *testing.T) {
	for text, key := range map[string]string{
		"":                                        "",
		"Role = \"Chief\"":                        "Role",
		"LogLevel = \"loud\"":                     "LogLevel",
		"[Listen]\nPeer = \"nowhere\"":            "Listen.Peer",
		"[Balancer]\nMaxFlows = 3":                "Balancer.MaxFlows",
		"[Balancer]\nLost = \"Guess\"":            "Balancer.Lost",
		"[Balancer]\nTick = \"1ms\"":              "Balancer.Tick",
		"[Balancer]\nSuspectAfter = \"100ms\"":    "Balancer.SuspectAfter",
		"Role = \"Control\"":                      "DataFolder",
		"Role = \"Both\"\nDataFolder = \"/data\"": "Control.Founders",
	} {
		t.Run(text, func(t *testing.T) {
			s, err := settings.Decode("x.toml", []byte(minimal+text))
			require.NoError(t, err)
			err = check.New("x.toml").Check(defaults.Defaults{}.Apply(s))
			if key == "" {
				require.NoError(t, err)
				return
			}
			var invalid *check.InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Equal(t, key, invalid.Key)
			require.Equal(t, "x.toml", invalid.File)
			require.NotEmpty(t, invalid.Allowed)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(minimal))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if s, err := settings.Decode("x.toml", b); err == nil {
			_ = check.New("x.toml").Check(defaults.Defaults{}.Apply(s))
		}
	})
}
