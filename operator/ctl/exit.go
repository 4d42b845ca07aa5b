package ctl

import (
	"context"
	"errors"
	"fmt"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/operator/client"
	"github.com/cairnworks/cairnworks/verdict"
)

// Exit codes, which are documented in the help text.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitFaults      = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
	exitRefused     = 7
	exitTimeout     = 8
	exitDiffers     = 9
)

// exitError is an error with an exit code. If message is empty, the failure has already been
// printed.
type exitError struct {
	code    int
	message string
}

func (e exitError) Error() string { return e.message }

func usageError(format string, args ...any) error {
	return exitError{code: exitUsage, message: fmt.Sprintf(format, args...)}
}

func alreadyReported(err error) bool {
	var e exitError
	return errors.As(err, &e) && e.message == ""
}

// publishErrorCodes maps the causes of a failed publish to exit codes. The set is published either
// by this client or by an instance, which returns the cause as an operator.Code.
var publishErrorCodes = []struct {
	cause error
	code  operator.Code
	exit  int
}{
	{config.ErrInvalidSet, operator.CodeInvalidSet, exitFaults},
	{config.ErrStaleBase, operator.CodeStaleBase, exitConflict},
	{config.ErrLostRace, operator.CodeLostRace, exitConflict},
	{config.ErrUnanchored, operator.CodeUnanchored, exitConflict},
	{config.ErrNotPublished, operator.CodeNotPublished, exitUnreachable},
	{config.ErrOutcomeUnknown, operator.CodeOutcomeUnknown, exitUnknown},
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var refused operator.Error
	isRefused := errors.As(err, &refused)
	for _, c := range publishErrorCodes {
		if errors.Is(err, c.cause) || isRefused && refused.Code == c.code {
			return c.exit
		}
	}
	var v *verdict.Verdict
	switch {
	case isRefused:
		return exitRefused
	case errors.Is(err, client.ErrUnanswered):
		return exitUnknown
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	case errors.As(err, &v) && v.Reason == verdict.ReasonLogUnavailable:
		return exitUnreachable
	case errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	default:
		return exitFailed
	}
}
