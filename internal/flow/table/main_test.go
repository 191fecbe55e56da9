package table_test

import (
	"os"
	"testing"

	"wasabideal/internal/standin/steady"
)

// TestMain gives the property-based tests of this package a fixed seed.
func TestMain(m *testing.M) { os.Exit(steady.Main{Checks: 100}.Run(m)) }
