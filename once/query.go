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

// KeyState is what the fleet knows of an idempotency key.
type KeyState struct {
	// State is "free", "claimed" (may have run), "ran" or "unknown" while the log
	// cannot be read.
	State string `json:"state"`
	// Instance and Claimed tell who claimed the key and when, by that instance's clock.
	Instance string     `json:"instance,omitempty"`
	Claimed  *time.Time `json:"claimed,omitempty"`
	// Running tells whether the instance that claimed the key still lives.
	Running bool `json:"running"`
	// Outcome is the offset of the recorded answer in the stream.
	Stream  string `json:"stream"`
	Outcome uint64 `json:"outcome,omitempty"`
}

// Lookup returns the state of a key without claiming it, for operators who are asked
// what became of a booking.
func (s *Service) Lookup(ctx context.Context, organisation, service, key string) KeyState {
	call := route.GuardedCall{Organisation: organisation, Service: service, IdempotencyKey: key}
	intent := s.newIntent(call, s.cfg.Clock())
	number := partitionOf(intent.Key)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ClaimTimeout)
	defer cancel()
	reply, _ := s.claimAt(ctx, number, claimRequest{intent: intentRecord(intent), rec: intent, lookupOnly: true})
	return s.keyState(streamName(number), reply)
}

func (s *Service) keyState(stream string, reply claimReply) KeyState {
	known := KeyState{State: "unknown", Stream: stream}
	switch reply.state {
	case stateFree:
		known.State = "free"
	case stateClaimed, stateDone, stateKeyReused:
		// A lookup has no call to compare with, so that "reused" is what it hears of
		// every key that is taken.
		s.describe(&known, reply.holder)
	}
	return known
}

func (s *Service) describe(known *KeyState, holder protocol.Holder) {
	known.State = "claimed"
	if holder.Outcome != 0 {
		known.State = "ran"
		known.Outcome = holder.Outcome
	}
	known.Instance = holder.Owner.Instance
	known.Running = holder.Outcome == 0 && s.inProgress(holder)
	if holder.ClaimedMS != 0 {
		claimed := time.UnixMilli(holder.ClaimedMS).UTC()
		known.Claimed = &claimed
	}
}

// AddQueries adds GET /idempotency-keys to the operators' endpoints, with the
// parameters organisation, service and key.
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
