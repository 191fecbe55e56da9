package stage

import (
	"context"
	"errors"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/samber/do/v2"
)

// Stage is one step of starting a process; it uses the values that earlier stages provide.
type Stage interface {
	fmt.Stringer
	Run(ctx context.Context, i do.Injector) error
}

// SkipError reports that a stage does not apply to this process, and why.
type SkipError struct{ Reason string }

func (e *SkipError) Error() string { return e.Reason }

// Run runs stages in order and stops at the first error. A SkipError does not stop Run: the stage
// is logged as skipped.
func Run(ctx context.Context, i do.Injector, stages []Stage) error {
	for _, s := range stages {
		err := s.Run(ctx, i)
		var skipped *SkipError
		if errors.As(err, &skipped) {
			if log, err := do.Invoke[hclog.Logger](i); err == nil {
				log.Debug("stage skipped", "Stage", s.String(), "Reason", skipped.Reason)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}
