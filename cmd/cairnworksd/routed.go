package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cairnworks/cairnworks/instance/routed"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/platform"
	"github.com/cairnworks/cairnworks/settings"
)

// routedCommand returns the command that runs an instance serving routed requests on the platform.
func routedCommand() *cli.Command {
	return &cli.Command{
		Name:  "routed",
		Usage: "run one instance that serves routed requests, until SIGTERM",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "JSON settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.BoolFlag{Name: "describe", Usage: "print every setting with its unit, default and effect, and exit"},
		},
		Action: runRouted,
	}
}

func runRouted(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("describe") {
		return settings.DescribeRouted(os.Stdout)
	}
	file := cmd.String("settings")
	s, err := settings.LoadRouted(file)
	if err != nil {
		return cli.Exit(err.Error(), exitSettings)
	}
	level, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	out := observe.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log, atomic := observe.NewLogger(out, level)
	i, err := routed.New(s, platform.NewDependencies(s), log)
	if err != nil {
		log.Error("cannot start", zap.Error(err))
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go reloadOnSIGHUP(ctx, file, atomic, log)
	return i.Run(ctx)
}

// reloadOnSIGHUP reloads the settings file on every SIGHUP and applies the only setting that can
// change at run time, the log level.
func reloadOnSIGHUP(ctx context.Context, file string, level zap.AtomicLevel, log *zap.Logger) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		s, err := settings.LoadRouted(file)
		if err != nil {
			log.Error("cannot reload settings; keeping the previous ones", zap.Error(err))
			continue
		}
		if parsed, err := zapcore.ParseLevel(s.LogLevel); err == nil {
			level.SetLevel(parsed)
		}
		log.Info("settings reloaded", zap.String("log_level", s.LogLevel))
	}
}
