package ctl

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/operator"
)

// statusResult is the output of status.
type statusResult struct {
	Status    operator.Status     `json:"status"`
	Instances []operator.Instance `json:"instances"`
}

func statusCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the status of an instance and the fleet as it sees it",
		Action: action(env, func(ctx context.Context, s *session) error {
			c, err := s.instance()
			if err != nil {
				return err
			}
			var out statusResult
			if out.Status, err = c.Status(ctx); err != nil {
				return err
			}
			if out.Instances, err = c.Instances(ctx); err != nil {
				return err
			}
			return s.print(out, func() { s.printStatus(out) })
		}),
	}
}

func (s *session) printStatus(out statusResult) {
	st := out.Status
	s.printf("instance %s in %s, started %s\n", st.Instance, st.DataCentre, st.Started.UTC().Format(time.RFC3339))
	s.printf("ready %t %s, draining %t, configuration %d, open requests %d, log level %s\n\n",
		st.Ready, st.Reason, st.Draining, st.ConfigVersion, st.OpenRequests, st.LogLevel)
	rows := make([][]any, 0, len(out.Instances))
	for _, i := range out.Instances {
		rows = append(rows, []any{i.Name, i.DataCentre, i.State, i.Draining, i.ConfigVersion, i.OperatorAddress})
	}
	s.table("INSTANCE\tDATA CENTRE\tSTATE\tDRAINING\tCONFIGURATION\tOPERATORS' ADDRESS", rows)
	if len(st.Refusals) == 0 {
		return
	}
	s.printf("\n")
	refusals := make([][]any, 0, len(st.Refusals))
	for _, r := range st.Refusals {
		refusals = append(refusals, []any{r.Reason, r.Ran, r.Stage, r.Count})
	}
	s.table("REFUSAL REASON\tRAN\tSTAGE\tCOUNT", refusals)
}

func upstreamsCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "upstreams", Usage: "list the upstreams of a service, or of all services", ArgsUsage: "[SERVICE]",
		Action: action(env, func(ctx context.Context, s *session) error {
			c, err := s.instance()
			if err != nil {
				return err
			}
			list, err := c.Upstreams(ctx, s.cmd.Args().First())
			if err != nil {
				return err
			}
			rows := make([][]any, 0, len(list))
			for _, u := range list {
				rows = append(rows, []any{u.Name, u.Service, u.Role, u.Address, u.DataCentre, u.Health, u.Running, u.Slots, u.PiecesUsed, u.Pieces})
			}
			return s.print(list, func() {
				s.table("UPSTREAM\tSERVICE\tROLE\tADDRESS\tDATA CENTRE\tHEALTH\tRUNNING\tSLOTS\tPIECES USED\tPIECES", rows)
			})
		}),
	}
}

func queuesCommand(env Env) *cli.Command {
	return &cli.Command{
		Name: "queues", Usage: "list the queues of all services",
		Action: action(env, func(ctx context.Context, s *session) error {
			c, err := s.instance()
			if err != nil {
				return err
			}
			list, err := c.Queues(ctx)
			if err != nil {
				return err
			}
			rows := make([][]any, 0, len(list))
			for _, q := range list {
				rows = append(rows, []any{q.Service, q.Scheduler, q.Interactive, q.Deferrable, q.Advice + q.Error})
			}
			return s.print(list, func() { s.table("SERVICE\tSCHEDULER\tINTERACTIVE\tDEFERRABLE\tADVICE", rows) })
		}),
	}
}
