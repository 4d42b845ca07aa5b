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
	// defaultLeaseWait is how long a command waits for the lease of an earlier order. If
	// the lease runs longer, the command is refused at once with a retry delay.
	defaultLeaseWait = 30 * time.Second
)

// AddCommands registers POST /orders with mux, an endpoint for operators.
func (s *Service) AddCommands(mux *http.ServeMux, find UpstreamFinder) {
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		cmd, wait, rejection := readCommand(w, r, find)
		if rejection != nil {
			writeVerdict(w, rejection)
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
		return Command{}, 0, verdict.Refuse(verdict.ReasonBadRequest, 0, "invalid command body: %v", err)
	}
	if body.From == nil || body.Name == "" || body.WaitMS < 0 || !slices.Contains(orderKinds, body.Kind) {
		return Command{}, 0, verdict.Refuse(verdict.ReasonBadRequest, 0, "from, name and a kind out of %v are required, and wait_ms must not be negative", orderKinds)
	}
	upstream, ok := find(body.Upstream)
	if !ok {
		return Command{}, 0, verdict.Refuse(verdict.ReasonNoUpstream, 0, "unknown upstream %q", body.Upstream)
	}
	wait := time.Duration(body.WaitMS) * time.Millisecond
	if wait == 0 {
		wait = defaultLeaseWait
	}
	cmd := Command{Upstream: upstream, Kind: body.Kind, Name: body.Name, BaseOffset: *body.From, Operator: body.Operator}
	return cmd, wait, nil
}
