package once

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/route"
	"github.com/cairnworks/cairnworks/verdict"
)

// KeyState is the state of an idempotency key as shown to operators.
type KeyState struct {
	// State is "free", "claimed" (the call may have run), "ran", or "unknown" if the log cannot
	// be read.
	State string `json:"state"`
	// Instance is the instance that claimed the key, and Claimed is the time by its clock.
	Instance string     `json:"instance,omitempty"`
	Claimed  *time.Time `json:"claimed,omitempty"`
	// Running reports whether the call may still be running.
	Running bool   `json:"running"`
	Stream  string `json:"stream"`
	// Outcome is the offset of the outcome record in the stream.
	Outcome uint64 `json:"outcome,omitempty"`
}

// Lookup returns the state of a key without claiming it. Operators use it to find out what happened
// to a call.
func (s *Service) Lookup(ctx context.Context, organisation, service, key string) KeyState {
	call := route.GuardedCall{Organisation: organisation, Service: service, IdempotencyKey: key}
	intent := s.newIntent(call, s.cfg.Clock())
	number := partitionOf(intent.Key)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()
	reply, _ := s.claimAtOwners(ctx, number, claimRequest{intent: intentRecord(intent), rec: intent, lookupOnly: true})
	return s.keyState(streamName(number), reply)
}

func (s *Service) keyState(stream string, reply claimReply) KeyState {
	state := KeyState{State: "unknown", Stream: stream}
	switch reply.state {
	case stateFree:
		state.State = "free"
	case stateClaimed, stateDone, stateKeyReused:
		// A lookup has no body hash to compare with, so every claimed key is returned as
		// stateKeyReused.
		s.setHolder(&state, reply.holder)
	}
	return state
}

func (s *Service) setHolder(state *KeyState, holder protocol.Holder) {
	state.State = "claimed"
	if holder.Outcome != 0 {
		state.State = "ran"
		state.Outcome = holder.Outcome
	}
	state.Instance = holder.Owner.Instance
	state.Running = holder.Outcome == 0 && s.inProgress(holder)
	if holder.ClaimedMS != 0 {
		claimed := time.UnixMilli(holder.ClaimedMS).UTC()
		state.Claimed = &claimed
	}
}

// AddQueries adds GET /idempotency-keys to the operators' endpoints. The parameters are organisation,
// service and key.
func (s *Service) AddQueries(mux *http.ServeMux) {
	mux.HandleFunc("GET /idempotency-keys", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		organisation, service, key := query.Get("organisation"), query.Get("service"), query.Get("key")
		if organisation == "" || service == "" || key == "" {
			http.Error(w, string(verdict.ReasonBadRequest), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Lookup(r.Context(), organisation, service, key))
	})
}
