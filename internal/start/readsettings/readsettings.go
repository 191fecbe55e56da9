package readsettings

import (
	"context"

	"github.com/samber/do/v2"

	"wasabideal/internal/setting/settings"
)

// Stage reads the settings file.
type Stage struct{ File string }

// String names the stage.
func (Stage) String() string { return "read settings" }

// Run provides the settings of the file, without defaults.
func (s Stage) Run(_ context.Context, i do.Injector) error {
	x, err := settings.Read(s.File)
	if err != nil {
		return err
	}
	do.ProvideValue(i, x)
	return nil
}
