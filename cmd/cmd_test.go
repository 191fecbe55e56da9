package cmd_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/cmd"
)

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.toml")
	require.NoError(t, err)
	require.Len(t, files, 4)
	require.Equal(t, 0, cmd.Main(append([]string{"check"}, files...)))
}

func TestInvalidFilesExitWithUsage(t *testing.T) {
	for name, content := range map[string]string{
		"unknown key":       "Role = \"Balancer\"\nZonee = \"x\"\n",
		"missing zone":      "Name = \"b\"\n",
		"undefined preset":  "InForce = \"x\"\n[[Presets]]\nName = \"ordinary\"\nSlotLimit = 2\n",
		"duplicate address": "InForce = \"o\"\n[[Presets]]\nName = \"o\"\nSlotLimit = 2\n[[Services]]\nName = \"a\"\nProtocol = \"tcp\"\nAddresses = [\"1.2.3.4:1\", \"1.2.3.4:1\"]\n",
		"revision set":      "Revision = 3\nInForce = \"o\"\n[[Presets]]\nName = \"o\"\nSlotLimit = 2\n",
		"unknown protocol":  "InForce = \"o\"\n[[Presets]]\nName = \"o\"\nSlotLimit = 2\n[[Services]]\nName = \"a\"\nProtocol = \"sctp\"\n",
		"limit too large":   "InForce = \"o\"\n[[Presets]]\nName = \"o\"\nSlotLimit = 2000000\n",
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "x.toml")
			require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
			require.Equal(t, 2, cmd.Main([]string{"check", file}))
		})
	}
}
