package ctl

import (
	"context"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/operator/client"
)

// commanded is the output of commands to an instance.
type commanded struct {
	Instance string `json:"instance"`
	Command  string `json:"command"`
}

func drainCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "drain", ArgsUsage: "INSTANCE",
		Usage: "shut an instance down gracefully; INSTANCE is its name, looked up through --instance, or its operators' IP:PORT",
		Action: action(env, func(ctx context.Context, s *session) error {
			args, err := s.args("INSTANCE")
			if err != nil {
				return err
			}
			c, err := s.find(ctx, args[0])
			if err != nil {
				return err
			}
			if err := c.Drain(ctx); err != nil {
				return err
			}
			return s.print(commanded{args[0], "drain"}, func() { s.printf("%s drains and leaves when its open requests have ended\n", args[0]) })
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
			c, err := s.find(ctx, args[0])
			if err != nil {
				return err
			}
			if err := c.SetLogLevel(ctx, args[1]); err != nil {
				return err
			}
			return s.print(commanded{args[0], "log-level"}, func() { s.printf("%s logs at %s\n", args[0], args[1]) })
		}),
	}
}

// find returns the client of an instance by operators' address or name.
func (s *session) find(ctx context.Context, instance string) (*client.Client, error) {
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
	return nil, usageError("no live instance is named %q", instance)
}
