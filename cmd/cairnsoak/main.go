// Command cairnsoak runs instances as separate processes and checks their guarantees under random
// fault injection.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/soak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "cairnsoak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cairnsoak",
		Usage: "run instances as processes on loopback and check their guarantees under random faults",
		Commands: []*cli.Command{{
			Name:  "run",
			Usage: "run seeds one after another; print every violated guarantee with its fault schedule, and exit with status 1 if there is one",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`", Value: 1},
				&cli.IntFlag{Name: "seeds", Usage: "`NUMBER` of seeds", Value: 1},
				&cli.FloatFlag{Name: "minutes", Usage: "`TIME` of fault injection per seed, in minutes", Value: 0.5},
				&cli.IntFlag{Name: "instances", Usage: "`NUMBER` of instances", Value: 4},
				&cli.IntFlag{Name: "callers", Usage: "`NUMBER` of callers, each with one request at a time", Value: 18},
				&cli.BoolFlag{Name: "crashing-only", Usage: "inject only parts of prompts that crash engines, and most requests at one instance"},
				&cli.StringFlag{Name: "daemon", Usage: "`PROGRAM` to run as an instance; default: cairnworksd in the directory of this program"},
				&cli.StringFlag{Name: "out", Usage: "`DIR` for logs and reports, with one subdirectory per seed", Value: "soak-out"},
			},
			Action: run,
		}},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	daemon := cmd.String("daemon")
	if daemon == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		daemon = filepath.Join(filepath.Dir(self), "cairnworksd")
	}
	failedSeeds := 0
	for n := range cmd.Int("seeds") {
		if ctx.Err() != nil {
			break
		}
		seed := cmd.Uint64("seed") + uint64(n)
		report, err := soak.Run(ctx, soak.Options{
			Seed: seed, Length: time.Duration(cmd.Float("minutes") * float64(time.Minute)), Instances: cmd.Int("instances"),
			Callers: cmd.Int("callers"), Daemon: daemon, Dir: filepath.Join(cmd.String("out"), strconv.FormatUint(seed, 10)), Progress: os.Stderr, CrashingOnly: cmd.Bool("crashing-only"),
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if err := report.Write(os.Stdout); err != nil {
			return err
		}
		if len(report.Findings) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return fmt.Errorf("%d seeds with findings", failedSeeds)
	}
	return nil
}
