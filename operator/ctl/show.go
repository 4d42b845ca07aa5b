package ctl

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
)

func showCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the set in force as JSON that can be published",
		Flags: []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "print the set of the record at `OFFSET` instead (requires --log)"}},
		Action: action(env, func(ctx context.Context, s *session) error {
			_, set, err := s.readPublishedSet(ctx)
			if err != nil {
				return err
			}
			enc := json.NewEncoder(s.env.Out)
			enc.SetIndent("", "  ")
			return enc.Encode(set)
		}),
	}
}

// readPublishedSet returns the set that --of selects, by default the set in force, and its version.
func (s *session) readPublishedSet(ctx context.Context) (uint64, object.Set, error) {
	if version := s.cmd.Uint64(flagVersion); version != 0 {
		log, err := s.log()
		if err != nil {
			return 0, object.Set{}, err
		}
		set, err := config.SetAt(ctx, log, version)
		return version, set, err
	}
	target, err := s.target()
	if err != nil {
		return 0, object.Set{}, err
	}
	return target.latest(ctx)
}

// diffResult is the output of diff.
type diffResult struct {
	Version uint64          `json:"version"`
	Changes []object.Change `json:"changes"`
}

func diffCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "list the changes that publishing the files would make", ArgsUsage: "FILE...",
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: flagVersion, Usage: "compare with the set of the record at `OFFSET` (requires --log)"}},
		Action: action(env, runDiff),
	}
}

func runDiff(ctx context.Context, s *session) error {
	set, faults, err := s.readSet()
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return s.reportFaults(set, faults)
	}
	version, inForce, err := s.readPublishedSet(ctx)
	if err != nil {
		return err
	}
	changes := object.Diff(inForce, set)
	if err := s.print(diffResult{Version: version, Changes: changes}, func() { s.printChanges(changes) }); err != nil {
		return err
	}
	if len(changes) > 0 {
		return exitError{code: exitDiffers}
	}
	return nil
}

func (s *session) printChanges(changes []object.Change) {
	for _, c := range changes {
		s.printf("%s %s\n", c.Kind, c.Object)
		for _, f := range c.Fields {
			s.printf("  %s: %s -> %s\n", f.Field, orNone(f.Old), orNone(f.New))
		}
	}
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// historyEntry is a record in the output of history.
type historyEntry struct {
	Offset    uint64           `json:"offset"`
	Judgement config.Judgement `json:"judgement"`
	Kind      config.Kind      `json:"kind"`
	Base      uint64           `json:"base"`
	Appended  string           `json:"appended"`
	RecordID  string           `json:"record_id"`
	Note      string           `json:"note,omitempty"`
}

func historyCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the retained records and whether they were accepted",
		Action: action(env, func(ctx context.Context, s *session) error {
			log, err := s.log()
			if err != nil {
				return err
			}
			judged, err := config.History(ctx, log)
			if err != nil {
				return err
			}
			entries := make([]historyEntry, 0, len(judged))
			rows := make([][]any, 0, len(judged))
			for _, j := range judged {
				e := newHistoryEntry(j)
				entries = append(entries, e)
				rows = append(rows, []any{e.Offset, e.Judgement, e.Kind, e.Base, e.Appended, e.RecordID, e.Note})
			}
			return s.print(entries, func() { s.table("OFFSET\tJUDGEMENT\tKIND\tBASE\tAPPENDED\tRECORD\tNOTE", rows) })
		}),
	}
}

func newHistoryEntry(j config.JudgedRecord) historyEntry {
	return historyEntry{
		Offset: j.Record.Offset, Judgement: j.Judgement, Kind: j.Header.Kind, Base: j.Header.Base,
		Appended: j.Record.Appended.UTC().Format("2006-01-02T15:04:05Z"), RecordID: j.Record.ID,
		Note: strings.ReplaceAll(j.Header.Note, "\n", " "),
	}
}
