package applydefaults

import (
	"context"

	"github.com/samber/do/v2"

	"wasabideal/internal/setting/defaults"
	"wasabideal/internal/setting/settings"
)

// Stage applies the defaults to the settings.
type Stage struct{}

// String names the stage.
func (Stage) String() string { return "fill in defaults" }

// Run replaces the provided settings by a copy with defaults.
func (Stage) Run(_ context.Context, i do.Injector) error {
	s, err := do.Invoke[settings.Settings](i)
	if err != nil {
		return err
	}
	do.OverrideValue(i, defaults.Defaults{}.Apply(s))
	return nil
}
