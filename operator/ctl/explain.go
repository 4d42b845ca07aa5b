package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/observe/explain"
)

// explainCommand shows the history of a request from log files.
func explainCommand(env Env) *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines of one request in order and the line that states its outcome",
		ArgsUsage: "REQUEST-ID [FILE...] | --failures [FILE...]",
		Description: `Reads the logs of any number of instances, or standard input. Times are by the
clock of each instance; lines of the same log keep their order. Lines that
cannot be read are counted and skipped. A description in plain English follows
the lines. With --failures, the requests that were not served are counted by
status and reason, with one example each.`,
		Flags: []cli.Flag{&cli.BoolFlag{Name: flagFailures, Usage: "count the requests that were not served, by status and reason"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if cmd.Bool(flagFailures) {
				failures := explain.NewFailureReader()
				if err := readLogs(failures, args); err != nil {
					return err
				}
				return printFailures(env.Out, failures.Failures(), cmd.Bool(flagJSON))
			}
			if len(args) == 0 || args[0] == "" {
				return usageError("REQUEST-ID is required")
			}
			reader := explain.NewRequestReader(args[0])
			if err := readLogs(reader, args[1:]); err != nil {
				return err
			}
			return printTimeline(env.Out, reader.Timeline(), cmd.Bool(flagJSON))
		},
	}
}

// flagFailures selects the table of requests that were not served.
const flagFailures = "failures"

// logReader parses logs.
type logReader interface {
	Read(source string, log io.Reader) error
}

// readLogs reads the files, or standard input if there are none.
func readLogs(reader logReader, files []string) error {
	if len(files) == 0 {
		return reader.Read("-", os.Stdin)
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return usageError("%v", err)
		}
		err = reader.Read(file, f)
		_ = f.Close()
		if err != nil {
			return usageError("%s: %v", file, err)
		}
	}
	return nil
}

func printTimeline(out io.Writer, t explain.Timeline, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t)
	}
	if t.Unreadable > 0 {
		fmt.Fprintf(out, "%d lines could not be read and were skipped\n", t.Unreadable)
	}
	if len(t.Lines) == 0 {
		return fmt.Errorf("no line of request %s found: the request was not received, or its lines are in another log", t.Request)
	}
	start := t.Lines[0].Time
	for i, line := range t.Lines {
		mark := "  "
		if i == t.Deciding {
			mark = "=>"
		}
		fmt.Fprintf(out, "%s %+9.3fs  %s:%d  %s%s\n", mark, line.Time.Sub(start).Seconds(), line.Source, line.Number, line.Event, fieldsText(line))
	}
	for _, sentence := range t.Sentences() {
		fmt.Fprintln(out, sentence)
	}
	if t.Deciding < 0 {
		fmt.Fprintln(out, "no line states the outcome: the instance stopped before it, or its log is truncated")
	} else {
		fmt.Fprintf(out, "outcome stated by line %d of %s, logged at %s by the clock of that instance\n",
			t.Lines[t.Deciding].Number, t.Lines[t.Deciding].Source, t.Lines[t.Deciding].Time.Format(time.RFC3339Nano))
	}
	return nil
}

func printFailures(out io.Writer, t explain.Failures, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(t)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "COUNT\tSTATUS\tREASON\tINSTANCES\tHELD\tFIRST\tLAST\tEXAMPLE\tDETAIL")
	failed := 0
	for _, row := range t.Rows {
		failed += row.Count
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%v\t%s\t%s\t%s\t%s\n", row.Count, row.Status, row.Reason, row.Instances, row.MedianDuration.Round(time.Millisecond),
			row.First.Format(time.TimeOnly), row.Last.Format(time.TimeOnly), row.Example, row.Detail)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d of %d requests were not served; %d lines could not be read and were skipped\n", failed, t.Decided, t.Unreadable)
	return nil
}

func fieldsText(line explain.Line) string {
	var b strings.Builder
	for _, f := range line.Fields {
		value := f.Value
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", f.Key, value)
	}
	return b.String()
}
