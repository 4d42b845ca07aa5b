// Command cairnworksd runs one instance of the router.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnworks/cairnworks/instance"
	"github.com/cairnworks/cairnworks/instance/embedded"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	exitKilled   = 130
)

const description = `Exit codes:
     0  drained, and ended by SIGTERM, SIGINT or an operator's drain
     1  any other failure, for instance an address in use or a file that cannot be read
     2  wrong use or wrong settings; starting again cannot help
   130  ended at once by a second signal

'cairnworksd completion bash' (zsh, fish, pwsh) prints the shell completion.`

func main() {
	if err := newApp().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cairnworksd:", err)
		os.Exit(exitFailed)
	}
}

func newApp() *cli.Command {
	app := &cli.Command{
		Name:                  "cairnworksd",
		Usage:                 "route requests to separate prefill and decode pools",
		Description:           description,
		EnableShellCompletion: true,
		Action:                noCommand,
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run one instance until SIGTERM; a second signal ends it at once",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`"},
					&cli.BoolFlag{Name: "embedded", Usage: "run stand-ins and an example set in this process, on loopback"},
				},
				Action: run,
			},
			routedCommand(),
			{
				Name:  "settings",
				Usage: "print every setting with its unit, default and effect",
				Action: func(context.Context, *cli.Command) error {
					return settings.Describe(os.Stdout)
				},
			},
		},
	}
	markUsageErrors(app)
	return app
}

// noCommand refuses an unknown command and helps whoever names none.
func noCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return cli.Exit(fmt.Sprintf("cairnworksd: unknown command %q", name), exitSettings)
	}
	return cli.ShowAppHelp(cmd)
}

// markUsageErrors gives every wrong flag the exit code of wrong settings, which
// tells a supervisor that starting again cannot help.
func markUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit("cairnworksd: "+err.Error(), exitSettings)
	}
	for _, sub := range cmd.Commands {
		markUsageErrors(sub)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, platform, err := load(ctx, cmd)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	if platform != nil {
		defer platform.Close()
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log, atomic := observe.NewLogger(os.Stderr, level)
	i, err := instance.New(s, log, atomic)
	if err != nil {
		return err
	}
	if platform != nil {
		go printWhenReady(ctx, i.Addresses(), platform)
	}
	drainOnSignal(i, log)
	return i.Run(ctx)
}

// readyPoll is how often a starting instance is asked whether it is ready.
const readyPoll = 50 * time.Millisecond

// printWhenReady prints the line to try. Printed at the start, its first answer
// would be a refusal, as the rate homes are not settled yet.
func printWhenReady(ctx context.Context, addresses instance.Addresses, platform *embedded.Platform) {
	for ctx.Err() == nil && !ready(ctx, addresses.Operators) {
		time.Sleep(readyPoll)
	}
	fmt.Println(platform.CurlLine(addresses.Callers))
}

// ready asks the operators' address whether callers may come.
func ready(ctx context.Context, operators string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operators+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// load reads the settings, or starts the stand-ins and makes settings for them.
func load(ctx context.Context, cmd *cli.Command) (settings.Settings, *embedded.Platform, error) {
	file := cmd.String("settings")
	if !cmd.Bool("embedded") {
		if file == "" {
			return settings.Settings{}, nil, fmt.Errorf("name a file with --settings, or try --embedded")
		}
		s, err := settings.Load(file)
		return s, nil, err
	}
	platform, err := embedded.StartPlatform(ctx)
	if err != nil {
		return settings.Settings{}, nil, err
	}
	s := platform.Settings("embedded-1")
	if file == "" {
		return s, platform, nil
	}
	// The file's addresses hold; the platform's are the stand-ins'.
	given, err := settings.LoadPartial(file, s)
	if err != nil {
		platform.Close()
		return settings.Settings{}, nil, err
	}
	return given, platform, nil
}

// drainOnSignal drains at the first SIGTERM or SIGINT and ends the process at
// the second.
func drainOnSignal(i *instance.Instance, log *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		i.Drain()
		<-signals
		log.Warn("ended at once by a second signal")
		os.Exit(exitKilled)
	}()
}
