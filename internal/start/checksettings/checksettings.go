package checksettings

import (
	"context"

	"github.com/samber/do/v2"

	"wasabideal/internal/setting/check"
	"wasabideal/internal/setting/settings"
)

// Stage validates the settings of one file.
type Stage struct{ File string }

// String names the stage.
func (Stage) String() string { return "check settings" }

// Run returns an error for the first invalid key.
func (s Stage) Run(_ context.Context, i do.Injector) error {
	x, err := do.Invoke[settings.Settings](i)
	if err != nil {
		return err
	}
	return check.New(s.File).Check(x)
}
