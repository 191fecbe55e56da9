package steady

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
)

// seed is the default seed of property-based tests, also in CI.
const seed = "20261202"

// UnknownFlagError reports that the test binary does not define a flag of rapid.
type UnknownFlagError struct {
	Name  string
	Cause error
}

func (e *UnknownFlagError) Error() string { return fmt.Sprintf("set flag %s: %v", e.Name, e.Cause) }

// Main runs the tests of a package with a fixed seed.
type Main struct {
	// Checks is the number of random cases per property.
	Checks int
}

// Run runs the tests. The flags -rapid.seed and -rapid.checks on the command line take precedence.
func (r Main) Run(m *testing.M) int {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(r.Checks)} {
		if err := flag.Set(name, value); err != nil {
			panic(&UnknownFlagError{Name: name, Cause: err})
		}
	}
	flag.Parse()
	return m.Run()
}
