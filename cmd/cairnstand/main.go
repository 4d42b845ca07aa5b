// Command cairnstand runs a stand-in for an external system as a process: a model engine, a plain
// service, the log, the instance list or the weight store. It is meant for tests and
// demonstrations.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/observe"
)

// exitCrashed is the exit status after POST /faults with "crash".
const exitCrashed = 3

// shutdownTimeout is how long open calls may take to complete after SIGTERM.
const shutdownTimeout = 2 * time.Second

const flagListen = "listen"

// standIn is the common interface of all stand-ins.
type standIn interface {
	Handler() http.Handler
	Close()
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		logger, _ := observe.NewLogger(os.Stderr, zap.InfoLevel)
		logger.Error("failed", zap.Error(err))
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cairnstand",
		Usage: "run stand-ins for the external systems that cairnworks uses",
		Commands: []*cli.Command{
			engineCommand(), plainCommand(), logCommand(), listCommand(), weightsCommand(),
		},
	}
}

func subcommand(name, usage string, build func(*cli.Command) standIn, flags ...cli.Flag) *cli.Command {
	listen := &cli.StringFlag{Name: flagListen, Value: "127.0.0.1:0", Usage: "IP:port; port 0 selects a free port"}
	return &cli.Command{
		Name: name, Usage: usage, Flags: append([]cli.Flag{listen}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, name, cmd.String(flagListen), build(cmd))
		},
	}
}

// serve runs s until ctx is done.
func serve(ctx context.Context, kind, address string, s standIn) error {
	defer s.Close()
	logger, _ := observe.NewLogger(os.Stdout, zap.InfoLevel)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	logger.Info("listening", zap.String("kind", kind), zap.String("address", listener.Addr().String()))
	go observe.WatchStalls(ctx, boottime.Now, logger)
	server := &http.Server{Handler: s.Handler()}
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// onCrash returns a function that exits the process, or nil if the stand-in restarts in place.
func onCrash(cmd *cli.Command) func() {
	if cmd.Bool(flagCrashInPlace) {
		return nil
	}
	return func() { os.Exit(exitCrashed) }
}
