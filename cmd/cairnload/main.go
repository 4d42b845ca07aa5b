// Command cairnload is a load generator: it runs a scenario against running instances, verifies
// every answer and compares runs. It starts no processes; the instances and stand-ins named in the
// scenario file must already be running.
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
	// exitViolations is the status of a completed run in which a guarantee was violated.
	exitViolations = 3
)

var errViolations = errors.New("guarantees were violated")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := command().Run(ctx, os.Args)
	switch {
	case errors.Is(err, errViolations):
		os.Exit(exitViolations)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cairnload:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "cairnload",
		Usage: "run a load scenario against instances and verify every answer",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run a scenario", ArgsUsage: "SCENARIO.json", Action: run,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "out", Usage: "write OUT.json, OUT.html and OUT.ndjson; the last has one line per request"},
					&cli.StringFlag{Name: "run", Usage: "`NAME` of the run; prompts and idempotency keys contain it"},
					&cli.StringFlag{Name: "pids", Usage: "`FILE` with one line NAME PID per running process"},
					&cli.Uint64Flag{Name: "seed", Usage: "random seed; overrides the seed of the scenario"},
				},
			},
			{
				Name: "compare", Usage: "compare two sets of reports, paired by scenario and seed",
				ArgsUsage: "A.json[,A2.json...] B.json[,B2.json...]", Action: compare,
			},
			{
				Name: "slopes", Usage: "fit CPU time and memory of processes as functions of the request rate",
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
	if err := writeReport(report, cmd.String("out")); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return errViolations
	}
	if report.Answered() == 0 {
		return errors.New("no request was answered, so nothing was verified")
	}
	return nil
}

func writeReport(report *load.Report, out string) error {
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
