package ctl

import (
	"context"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/operator/client"
)

// commandResult is the output of commands that are sent to an instance.
type commandResult struct {
	Instance string `json:"instance"`
	Command  string `json:"command"`
}

func drainCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "drain", ArgsUsage: "INSTANCE",
		Usage: "shut down an instance gracefully; INSTANCE is its name, which is resolved through --instance, or its operators' address IP:PORT",
		Action: action(env, func(ctx context.Context, s *session) error {
			args, err := s.args("INSTANCE")
			if err != nil {
				return err
			}
			c, err := s.findInstance(ctx, args[0])
			if err != nil {
				return err
			}
			if err := c.Drain(ctx); err != nil {
				return err
			}
			return s.print(commandResult{args[0], "drain"}, func() { s.printf("%s is draining and shuts down when its open requests have ended\n", args[0]) })
		}),
	}
}

func logLevelCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "log-level", Usage: "change the log level of an instance", ArgsUsage: "INSTANCE LEVEL",
		Action: action(env, func(ctx context.Context, s *session) error {
			args, err := s.args("INSTANCE", "LEVEL")
			if err != nil {
				return err
			}
			c, err := s.findInstance(ctx, args[0])
			if err != nil {
				return err
			}
			if err := c.SetLogLevel(ctx, args[1]); err != nil {
				return err
			}
			return s.print(commandResult{args[0], "log-level"}, func() { s.printf("log level of %s is now %s\n", args[0], args[1]) })
		}),
	}
}

// findInstance returns a client of the instance with the given operators' address or name.
func (s *session) findInstance(ctx context.Context, instance string) (*client.Client, error) {
	if _, err := netip.ParseAddrPort(instance); err == nil {
		return s.instanceAt(instance)
	}
	first, err := s.instance()
	if err != nil {
		return nil, err
	}
	list, err := first.Instances(ctx)
	if err != nil {
		return nil, err
	}
	for _, i := range list {
		if i.Name == instance && i.Live() {
			return s.instanceAt(i.OperatorAddress)
		}
	}
	return nil, usageError("no live instance has the name %q", instance)
}
