// Command cairnload drives running instances with a scenario, checks every answer
// and compares runs. It starts no process: instances and stand-ins are started
// beforehand and named in the scenario file.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/load"
)

// Exit codes.
const (
	exitFailed = 1
	// exitBroken tells that the run ended and a promise was broken.
	exitBroken = 3
)

var errBroken = errors.New("promises were broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	switch {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cairnload:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cairnload",
		Usage: "drive instances with a scenario and check every answer",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run a scenario", ArgsUsage: "SCENARIO.json", Action: run,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "out", Usage: "write OUT.json, OUT.html and OUT.ndjson, a line for each request"},
					&cli.StringFlag{Name: "run", Usage: "`NAME` of the run; prompts and idempotency keys contain it"},
					&cli.StringFlag{Name: "pids", Usage: "`FILE` with a line NAME PID for each running process"},
					&cli.Uint64Flag{Name: "seed", Usage: "in place of the scenario's"},
				},
			},
			{
				Name: "compare", Usage: "compare two sets of reports, paired by scenario and seed",
				ArgsUsage: "A.json[,A2.json...] B.json[,B2.json...]", Action: compare,
			},
			{
				Name: "slopes", Usage: "fit processor time and memory of processes over the request rate",
				ArgsUsage: "REPORT.json...", Action: slopes,
			},
		},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	scenario, err := load.ReadScenario(cmd.Args().First())
	if err != nil {
		return err
	}
	if pids := cmd.String("pids"); pids != "" {
		if err := scenario.BindProcesses(pids); err != nil {
			return err
		}
	}
	if cmd.IsSet("seed") {
		scenario.Seed = cmd.Uint64("seed")
	}
	name := cmd.String("run")
	if name == "" {
		name = time.Now().UTC().Format("20060102-150405")
	}
	report, err := load.Run(ctx, scenario, name)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := write(report, cmd.String("out")); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errBroken
	}
	if report.Answered() == 0 {
		return errors.New("no request was answered: nothing was checked")
	}
	return nil
}

func write(report *load.Report, out string) error {
	if out == "" {
		return nil
	}
	if err := report.WriteJSON(out + ".json"); err != nil {
		return err
	}
	if err := report.WriteTasks(out + ".ndjson"); err != nil {
		return err
	}
	return report.WriteHTML(out + ".html")
}

func compare(_ context.Context, cmd *cli.Command) error {
	if cmd.NArg() != 2 {
		return errors.New("compare takes two lists of reports")
	}
	a, err := readReports(strings.Split(cmd.Args().Get(0), ","))
	if err != nil {
		return err
	}
	b, err := readReports(strings.Split(cmd.Args().Get(1), ","))
	if err != nil {
		return err
	}
	comparisons, err := load.Compare(a, b)
	if err != nil {
		return err
	}
	return load.WriteComparison(os.Stdout, comparisons)
}

func slopes(_ context.Context, cmd *cli.Command) error {
	reports, err := readReports(cmd.Args().Slice())
	if err != nil {
		return err
	}
	return load.WriteSlopes(os.Stdout, load.Slopes(reports))
}

func readReports(paths []string) ([]*load.Report, error) {
	var out []*load.Report
	for _, path := range paths {
		report, err := load.ReadReport(path)
		if err != nil {
			return nil, err
		}
		out = append(out, report)
	}
	return out, nil
}
