package ctl

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/operator/client"
	"github.com/cairnworks/cairnworks/port"
)

// session is the execution of one command.
type session struct {
	env Env
	cmd *cli.Command
}

// log returns a client of the log service that is set by flags.
func (s *session) log() (port.Log, error) {
	address, err := s.address(flagLog)
	if err != nil {
		return nil, err
	}
	return s.env.OpenLog(address), nil
}

// instance returns a client of the instance that is set by flags.
func (s *session) instance() (*client.Client, error) {
	address, err := s.address(flagInstance)
	if err != nil {
		return nil, err
	}
	return s.instanceAt(address)
}

func (s *session) instanceAt(address string) (*client.Client, error) {
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	return client.New(address, token, s.env.HTTP), nil
}

func (s *session) address(flag string) (string, error) {
	value := s.cmd.String(flag)
	if value == "" {
		return "", usageError("--%s IP:PORT is required", flag)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return "", usageError("--%s: invalid address %q, must be IP:PORT", flag, value)
	}
	return value, nil
}

func (s *session) token() (string, error) {
	file := s.cmd.String(flagTokenFile)
	if file == "" {
		return s.cmd.String(flagToken), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", usageError("--%s: %v", flagTokenFile, err)
	}
	return strings.TrimSpace(string(data)), nil
}

func (s *session) json() bool { return s.cmd.Bool(flagJSON) }

// print writes value as JSON if --json is set. Otherwise it calls text to print it.
func (s *session) print(value any, text func()) error {
	if !s.json() {
		text()
		return nil
	}
	enc := json.NewEncoder(s.env.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(s.env.Out, format, args...)
}

// table prints rows in aligned columns.
func (s *session) table(header string, rows [][]any) {
	w := tabwriter.NewWriter(s.env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	_ = w.Flush()
}

// readSet reads and checks the set in the files that are given as arguments.
func (s *session) readSet() (object.Set, []object.Fault, error) {
	files := s.cmd.Args().Slice()
	if len(files) == 0 {
		return object.Set{}, nil, usageError("at least one FILE is required")
	}
	var set object.Set
	var faults []object.Fault
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return object.Set{}, nil, usageError("%v", err)
		}
		part, found := object.Parse(file, data)
		faults = append(faults, found...)
		set = set.Append(part)
	}
	if len(faults) == 0 {
		faults = object.Check(set)
	}
	return set, faults, nil
}

// args returns the arguments, or a usage error if their number is wrong.
func (s *session) args(names ...string) ([]string, error) {
	given := s.cmd.Args().Slice()
	if len(given) != len(names) {
		return nil, usageError("got %d arguments, required: %s", len(given), strings.Join(names, " "))
	}
	return given, nil
}
