package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
)

// published is the output of commands that publish.
type published struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
}

func publishCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "publish", ArgsUsage: "FILE...",
		Usage: "publish a set through --log, or through --instance without it",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` that the set was made from (default: the one in force)", HideDefault: true},
			&cli.StringFlag{Name: flagNote, Usage: "`TEXT` for the history"},
			&cli.BoolFlag{Name: flagRestart, Usage: "publish although no retained record tells what is in force"},
		},
		Action: action(env, runPublish),
	}
}

func runPublish(ctx context.Context, s *session) error {
	set, faults, err := s.readSet()
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return s.reportFaults(set, faults)
	}
	target, err := s.target()
	if err != nil {
		return err
	}
	base := s.cmd.Uint64(flagBase)
	if !s.cmd.IsSet(flagBase) && !s.cmd.Bool(flagRestart) {
		if base, _, err = target.latest(ctx); err != nil {
			return err
		}
	}
	version, err := s.publishTo(ctx, target, set, base)
	if err != nil {
		return err
	}
	return s.print(published{Version: version, Base: base}, func() {
		s.printf("published version %d, made from %d\n", version, base)
	})
}

func (s *session) publishTo(ctx context.Context, target publishTarget, set object.Set, base uint64) (uint64, error) {
	note := s.cmd.String(flagNote)
	if s.cmd.Bool(flagRestart) {
		log, err := s.log()
		if err != nil {
			return 0, err
		}
		return config.NewPublisher(log).Restart(ctx, set, note)
	}
	return target.publish(ctx, set, base, note)
}
