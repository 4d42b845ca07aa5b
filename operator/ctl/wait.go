package ctl

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/operator"
	"github.com/cairnworks/cairnworks/operator/client"
)

// pollInterval is the time between two looks at the fleet while waiting.
const pollInterval = 500 * time.Millisecond

// pause waits for d, or fails when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func waitCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "wait", Usage: "wait until a version is in force on every live instance", ArgsUsage: "VERSION",
		Action: action(env, func(ctx context.Context, s *session) error {
			args, err := s.args("VERSION")
			if err != nil {
				return err
			}
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError("VERSION: given %q, allowed is a version", args[0])
			}
			if err := s.waitFor(ctx, version); err != nil {
				return err
			}
			return s.print(published{Version: version}, func() { s.printf("version %d is in force everywhere\n", version) })
		}),
	}
}

// waitFor asks each live instance itself: what the others have heard of it lags.
func (s *session) waitFor(ctx context.Context, version uint64) error {
	first, err := s.instance()
	if err != nil {
		return err
	}
	for {
		behind, err := s.behind(ctx, first, version)
		var refused operator.Error
		switch {
		case errors.As(err, &refused):
			return err
		case err == nil && len(behind) == 0:
			return nil
		}
		if pause(ctx, pollInterval) != nil {
			return timeRanOut(version, behind, err)
		}
	}
}

func timeRanOut(version uint64, behind []string, err error) error {
	message := fmt.Sprintf("the time ran out before version %d was in force everywhere", version)
	if len(behind) > 0 {
		message += "; missing on " + strings.Join(behind, ", ")
	}
	if err != nil {
		message += ": " + err.Error()
	}
	return exitError{code: exitTimeout, message: message}
}

// behind lists the live instances that do not have the version in force, with
// what they have or why that is not known.
func (s *session) behind(ctx context.Context, first *client.Client, version uint64) ([]string, error) {
	instances, err := first.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, i := range instances {
		if !i.Live() {
			continue
		}
		c, err := s.instanceAt(i.OperatorAddress)
		if err != nil {
			return nil, err
		}
		status, err := c.Status(ctx)
		switch {
		case err != nil:
			out = append(out, fmt.Sprintf("%s (%v)", i.Name, err))
		case status.ConfigVersion < version:
			out = append(out, fmt.Sprintf("%s (%d)", i.Name, status.ConfigVersion))
		}
	}
	return out, nil
}
