// Command cairnworksd runs one instance of the router.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

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

func main() {
	app := &cli.Command{
		Name:                  "cairnworksd",
		Usage:                 "route requests to separate prefill and decode pools",
		EnableShellCompletion: true,
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
			{
				Name:  "settings",
				Usage: "print every setting with its unit, default and effect",
				Action: func(context.Context, *cli.Command) error {
					return settings.Describe(os.Stdout)
				},
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cairnworksd:", err)
		os.Exit(exitFailed)
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
		fmt.Println(platform.CurlLine(i.Addresses().Callers))
	}
	drainOnSignal(i, log)
	return i.Run(ctx)
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
