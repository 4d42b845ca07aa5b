// Package ctl is the operators' command line client as a library: it checks,
// publishes and shows object sets, issues and withdraws keys, and drains and
// watches instances. Commands and queries stand in files of their own.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/port"
)

// Env is what the client needs of its surroundings.
type Env struct {
	Out, Err io.Writer
	// OpenLog returns the log service at an address (IP:port).
	OpenLog func(address string) port.Log
	// HTTP reaches instances; nil means http.DefaultClient.
	HTTP *http.Client
}

// Flags that several commands share.
const (
	flagLog       = "log"
	flagInstance  = "instance"
	flagTokenFile = "token-file"
	flagToken     = "token"
	flagJSON      = "json"
	flagTimeout   = "timeout"
	flagBase      = "base"
	flagNote      = "note"
	flagRestart   = "restart"
	flagVersion   = "of"
	flagOrg       = "organisation"
	flagWait      = "wait"
)

// defaultTimeout bounds a whole command. It leaves room for settling an append
// that was not answered, five seconds, and for a slow log.
const defaultTimeout = 30 * time.Second

const description = `Object sets are published through the log (--log). Instances are asked and
commanded at their operators' address (--instance), with the operators' token
from --token-file or CAIRNCTL_TOKEN.

Exit codes:
   0  done
   1  any other failure
   2  wrong use: unknown command, flag or argument, unreadable file
   3  the object set has faults; all are listed
   4  another version came first (stale base or lost race); nothing is in force
   5  the outcome is unknown: an answer was lost and could not be made up for
   6  the log or the instance cannot be reached; nothing was changed
   7  the instance refused, for instance the token
   8  the time ran out before the state that was waited for
   9  diff: the sets differ

'cairnctl completion bash' (zsh, fish, pwsh) prints the shell completion.`

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, env Env, args []string) int {
	err := newApp(env).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	code := exitCode(err)
	if !silent(err) {
		fmt.Fprintln(env.Err, "cairnctl:", err)
	}
	return code
}

func newApp(env Env) *cli.Command {
	app := &cli.Command{
		Name:                  "cairnctl",
		Usage:                 "check, publish and show the object set; watch and drain instances",
		Description:           description,
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                env.Out,
		ErrWriter:             env.Err,
		Flags:                 sharedFlags(),
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action:                noCommand,
		Commands: []*cli.Command{
			checkCommand(env), publishCommand(env), diffCommand(env), showCommand(env), historyCommand(env),
			keyCommand(env), statusCommand(env), upstreamsCommand(env), queuesCommand(env),
			drainCommand(env), logLevelCommand(env), waitCommand(env), explainCommand(env),
		},
	}
	markUsageErrors(app)
	return app
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagLog, Usage: "log service at `IP:PORT`", Sources: cli.EnvVars("CAIRNCTL_LOG")},
		&cli.StringFlag{Name: flagInstance, Usage: "operators' address of an instance, `IP:PORT`", Sources: cli.EnvVars("CAIRNCTL_INSTANCE")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("CAIRNCTL_TOKEN_FILE")},
		// The token is taken from the environment only: arguments can be read by
		// every user of the machine.
		&cli.StringFlag{Name: flagToken, Hidden: true, Sources: cli.EnvVars("CAIRNCTL_TOKEN")},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON for scripts"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` for the command", Value: defaultTimeout},
	}
}

func noCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usageError("unknown command %q", name)
	}
	return cli.ShowAppHelp(cmd)
}

// markUsageErrors makes every wrong flag end with the code for wrong use.
func markUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError("%v", err)
	}
	for _, sub := range cmd.Commands {
		markUsageErrors(sub)
	}
}

// action bounds a command's time and gives it a session.
func action(env Env, run func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return run(ctx, &session{env: env, cmd: cmd})
	}
}
