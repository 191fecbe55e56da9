package exit

import (
	"errors"

	"wasabideal/internal/control/ledger"
	"wasabideal/internal/model/configuration"
	"wasabideal/internal/operator/client"
	"wasabideal/internal/setting/check"
	"wasabideal/internal/setting/settings"
)

// Status is the exit status of a command.
type Status int

// The exit statuses that scripts can distinguish.
const (
	Done     Status = 0
	Failed   Status = 1
	Usage    Status = 2
	Conflict Status = 3
	Unknown  Status = 4
)

// StatusOf returns the exit status for the error of a command.
func StatusOf(err error) Status {
	var (
		conflict             *ledger.ConflictError
		rejected             *ledger.InvalidError
		noLeader             *client.NoLeaderError
		invalidSettings      *check.InvalidError
		invalidConfiguration *configuration.InvalidError
		malformed            *settings.MalformedError
	)
	switch {
	case err == nil:
		return Done
	case errors.As(err, &conflict):
		return Conflict
	case errors.As(err, &noLeader):
		return Unknown
	case errors.As(err, &rejected), errors.As(err, &invalidSettings), errors.As(err, &invalidConfiguration), errors.As(err, &malformed):
		return Usage
	default:
		return Failed
	}
}
