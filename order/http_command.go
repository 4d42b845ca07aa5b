package order

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cairnworks/cairnworks/verdict"
)

const (
	// maxCommandBytes bounds the body of a command.
	maxCommandBytes = 16 << 10
	// defaultWait is how long a command waits for an earlier order's lease. A longer
	// wait is refused at once with the time to come back.
	defaultWait = 30 * time.Second
)

// AddCommands adds POST /orders to the operators' endpoints.
func (s *Service) AddCommands(mux *http.ServeMux, find UpstreamFinder) {
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		cmd, wait, refusal := readCommand(w, r, find)
		if refusal != nil {
			writeVerdict(w, refusal)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), wait)
		defer cancel()
		outcome, err := s.Execute(ctx, cmd)
		if err != nil {
			writeVerdict(w, verdict.From(err))
			return
		}
		writeJSON(w, http.StatusOK, OutcomeBody(outcome))
	})
}

func readCommand(w http.ResponseWriter, r *http.Request, find UpstreamFinder) (Command, time.Duration, *verdict.Verdict) {
	var body CommandBody
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return Command{}, 0, verdict.Refuse(verdict.ReasonBadRequest, 0, "the body is no command: %v", err)
	}
	if body.From == nil || body.Name == "" || body.WaitMS < 0 || !slices.Contains(kinds, body.Kind) {
		return Command{}, 0, verdict.Refuse(verdict.ReasonBadRequest, 0, "from, name and a kind out of %v are needed", kinds)
	}
	upstream, ok := find(body.Upstream)
	if !ok {
		return Command{}, 0, verdict.Refuse(verdict.ReasonNoUpstream, 0, "no upstream %q", body.Upstream)
	}
	wait := time.Duration(body.WaitMS) * time.Millisecond
	if wait == 0 {
		wait = defaultWait
	}
	cmd := Command{Upstream: upstream, Kind: body.Kind, Name: body.Name, From: *body.From, Operator: body.Operator}
	return cmd, wait, nil
}
