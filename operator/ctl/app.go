// Package ctl implements the operators' command line client as a library. It checks, publishes and
// shows object sets, issues and withdraws keys, drains and monitors instances, and analyses logs.
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

// Env contains the external dependencies of the client.
type Env struct {
	Out, Err io.Writer
	// OpenLog returns a client of the log service at an address (IP:port).
	OpenLog func(address string) port.Log
	// HTTP is used for requests to instances. If it is nil, http.DefaultClient is used.
	HTTP *http.Client
}

// Names of flags, most of which are shared by several commands.
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

// defaultTimeout limits the duration of a command. It allows for a slow log and for determining the
// outcome of an append without a response, which takes up to 5 s.
const defaultTimeout = 30 * time.Second

const description = `Object sets are published to the log (--log). Queries and commands are sent to the
operators' address of an instance (--instance), with the operators' token from
--token-file or CAIRNCTL_TOKEN.

Exit codes:
   0  success
   1  any other failure
   2  usage error: unknown command, flag or argument, or unreadable file
   3  the object set has faults; all are listed
   4  another version was published first (stale base or lost race); the set is
      not in force
   5  the outcome is unknown, because a response was lost
   6  the log or the instance cannot be reached; nothing was changed
   7  the instance refused the request, for example because of an invalid token
   8  timeout while waiting for a state
   9  diff: the sets differ

'cairnctl completion bash' (zsh, fish, pwsh) prints the shell completion.`

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, env Env, args []string) int {
	err := newApp(env).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	code := exitCode(err)
	if !alreadyReported(err) {
		fmt.Fprintln(env.Err, "cairnctl:", err)
	}
	return code
}

func newApp(env Env) *cli.Command {
	app := &cli.Command{
		Name:                  "cairnctl",
		Usage:                 "check, publish and show object sets; monitor and drain instances",
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
		&cli.StringFlag{Name: flagLog, Usage: "address of the log service, `IP:PORT`", Sources: cli.EnvVars("CAIRNCTL_LOG")},
		&cli.StringFlag{Name: flagInstance, Usage: "operators' address of an instance, `IP:PORT`", Sources: cli.EnvVars("CAIRNCTL_INSTANCE")},
		&cli.StringFlag{Name: flagTokenFile, Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("CAIRNCTL_TOKEN_FILE")},
		// The token should be set in the environment only, since command line arguments are visible
		// to all users of the machine.
		&cli.StringFlag{Name: flagToken, Hidden: true, Sources: cli.EnvVars("CAIRNCTL_TOKEN")},
		&cli.BoolFlag{Name: flagJSON, Usage: "print JSON"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "maximum `DURATION` of the command", Value: defaultTimeout},
	}
}

func noCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return usageError("unknown command %q", name)
	}
	return cli.ShowAppHelp(cmd)
}

// markUsageErrors makes invalid flags exit with exitUsage.
func markUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError("%v", err)
	}
	for _, sub := range cmd.Commands {
		markUsageErrors(sub)
	}
}

// action returns an action that runs a command with a timeout and a new session.
func action(env Env, run func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		return run(ctx, &session{env: env, cmd: cmd})
	}
}
