package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
)

// publishResult is the output of commands that publish.
type publishResult struct {
	Version uint64 `json:"version"`
	Base    uint64 `json:"base"`
}

func publishCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "publish", ArgsUsage: "FILE...",
		Usage: "publish a set to the log (--log), or through an instance (--instance) if --log is not set",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagBase, Usage: "`VERSION` on which the set is based (default: the version in force)", HideDefault: true},
			&cli.StringFlag{Name: flagNote, Usage: "`TEXT` that history shows"},
			&cli.BoolFlag{Name: flagRestart, Usage: "publish even if no retained record shows which version is in force"},
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
	return s.print(publishResult{Version: version, Base: base}, func() {
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
