package logging

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"

	"wasabideal/internal/setting/settings"
)

// Stage creates a logger that writes JSON lines to standard error.
type Stage struct{}

// String names the stage.
func (Stage) String() string { return "open log" }

// Run provides the logger.
func (Stage) Run(_ context.Context, i do.Injector) error {
	s, err := do.Invoke[settings.Settings](i)
	if err != nil {
		return err
	}
	do.ProvideValue(i, hclog.New(&hclog.LoggerOptions{
		Name: s.Name, Level: hclog.LevelFromString(s.LogLevel), JSONFormat: true, Output: os.Stderr,
	}))
	return nil
}
