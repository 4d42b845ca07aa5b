package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/object"
)

// checkResult is the output of check.
type checkResult struct {
	Faults []object.Fault `json:"faults"`
	Counts counts         `json:"counts"`
}

// counts are the numbers of objects in a set.
type counts struct {
	Organisations int `json:"organisations"`
	Keys          int `json:"keys"`
	Services      int `json:"services"`
	Upstreams     int `json:"upstreams"`
	Limits        int `json:"limits"`
	Routes        int `json:"routes"`
}

func countObjects(set object.Set) counts {
	return counts{len(set.Organisations), len(set.Keys), len(set.Services), len(set.Upstreams), len(set.Limits), len(set.Routes)}
}

func checkCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check the files as one set and list all faults", ArgsUsage: "FILE...",
		Action: action(env, func(_ context.Context, s *session) error {
			set, faults, err := s.readSet()
			if err != nil {
				return err
			}
			if len(faults) > 0 {
				return s.reportFaults(set, faults)
			}
			n := countObjects(set)
			return s.print(checkResult{Faults: []object.Fault{}, Counts: n}, func() {
				s.printf("ok: %d organisations, %d keys, %d services, %d upstreams, %d limits, %d routes\n",
					n.Organisations, n.Keys, n.Services, n.Upstreams, n.Limits, n.Routes)
			})
		}),
	}
}

// reportFaults prints the faults and returns an error for exitFaults.
func (s *session) reportFaults(set object.Set, faults []object.Fault) error {
	err := s.print(checkResult{Faults: faults, Counts: countObjects(set)}, func() {
		for _, f := range faults {
			s.printf("%s\n", f)
		}
		s.printf("%d faults\n", len(faults))
	})
	if err != nil {
		return err
	}
	return exitError{code: exitFaults}
}
