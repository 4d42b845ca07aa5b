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
     0  drained and stopped after SIGTERM, SIGINT or an operator's drain
     1  any other failure, for instance an address in use or a file that cannot be read
     2  invalid usage or settings; restarting does not help
   130  terminated immediately by a second signal

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
		Action:                runWithoutCommand,
		Commands: []*cli.Command{
			{
				Name:  "run",
				Usage: "run one instance until SIGTERM; a second signal terminates it immediately",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`"},
					&cli.BoolFlag{Name: "embedded", Usage: "run stand-ins with an example configuration in this process, on loopback"},
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
	setUsageExitCode(app)
	return app
}

// runWithoutCommand rejects an unknown command. Without any command, it prints the help.
func runWithoutCommand(_ context.Context, cmd *cli.Command) error {
	if name := cmd.Args().First(); name != "" {
		return cli.Exit(fmt.Sprintf("cairnworksd: unknown command %q", name), exitSettings)
	}
	return cli.ShowAppHelp(cmd)
}

// setUsageExitCode makes usage errors return the same exit code as invalid settings, which tells a
// supervisor that a restart does not help.
func setUsageExitCode(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit("cairnworksd: "+err.Error(), exitSettings)
	}
	for _, sub := range cmd.Commands {
		setUsageExitCode(sub)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	s, platform, err := loadSettings(ctx, cmd)
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
		go printCurlWhenReady(ctx, i.Addresses(), platform)
	}
	drainOnSignal(i, log)
	return i.Run(ctx)
}

// readyPollInterval is the interval at which the readiness of a starting instance is polled.
const readyPollInterval = 50 * time.Millisecond

// printCurlWhenReady prints an example curl command once the instance is ready. Before that, the
// command would be refused, because it is not known yet which instances hold the quotas.
func printCurlWhenReady(ctx context.Context, addresses instance.Addresses, platform *embedded.Platform) {
	for ctx.Err() == nil && !ready(ctx, addresses.Operators) {
		time.Sleep(readyPollInterval)
	}
	fmt.Println(platform.CurlCommand(addresses.Callers))
}

// ready queries the readiness endpoint at the operators' address.
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

// loadSettings reads the settings file. With --embedded, it starts the stand-ins and returns
// settings that use them.
func loadSettings(ctx context.Context, cmd *cli.Command) (settings.Settings, *embedded.Platform, error) {
	file := cmd.String("settings")
	if !cmd.Bool("embedded") {
		if file == "" {
			return settings.Settings{}, nil, fmt.Errorf("no settings file given: use --settings FILE or --embedded")
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
	// The file overrides the embedded settings. Fields that it omits, such as the platform's
	// addresses, keep referring to the stand-ins.
	merged, err := settings.LoadPartial(file, s)
	if err != nil {
		platform.Close()
		return settings.Settings{}, nil, err
	}
	return merged, platform, nil
}

// drainOnSignal drains the instance on the first SIGTERM or SIGINT and exits the process on the
// second.
func drainOnSignal(i *instance.Instance, log *zap.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		i.Drain()
		<-signals
		log.Warn("terminated immediately by a second signal")
		os.Exit(exitKilled)
	}()
}
