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

// pollInterval is the time between two polls of the fleet.
const pollInterval = 500 * time.Millisecond

// sleep waits for d. It returns an error if ctx is done before.
func sleep(ctx context.Context, d time.Duration) error {
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
				return usageError("VERSION: %q is not a valid version", args[0])
			}
			if err := s.waitForVersion(ctx, version); err != nil {
				return err
			}
			return s.print(publishResult{Version: version}, func() { s.printf("version %d is in force on every live instance\n", version) })
		}),
	}
}

// waitForVersion waits until the version is in force on every live instance. It queries each
// instance itself, since the information that other instances have about it may be
// outdated.
func (s *session) waitForVersion(ctx context.Context, version uint64) error {
	first, err := s.instance()
	if err != nil {
		return err
	}
	for {
		behind, err := s.laggingInstances(ctx, first, version)
		var refused operator.Error
		switch {
		case errors.As(err, &refused):
			return err
		case err == nil && len(behind) == 0:
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return timeoutError(version, behind, err)
		}
	}
}

func timeoutError(version uint64, behind []string, err error) error {
	message := fmt.Sprintf("timeout before version %d was in force on every live instance", version)
	if len(behind) > 0 {
		message += "; not in force on " + strings.Join(behind, ", ")
	}
	if err != nil {
		message += ": " + err.Error()
	}
	return exitError{code: exitTimeout, message: message}
}

// laggingInstances lists the live instances on which the version is not in force, each with its
// version or with the error of the query.
func (s *session) laggingInstances(ctx context.Context, first *client.Client, version uint64) ([]string, error) {
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
