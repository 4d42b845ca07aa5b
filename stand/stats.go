package stand

import (
	"maps"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// RequestStats counts what an engine did for one request, over all attempts.
type RequestStats struct {
	PromptHash string `json:"prompt_hash,omitempty"`
	// LastAttempt is the highest attempt number seen.
	LastAttempt uint32 `json:"last_attempt"`
	Prefills    int    `json:"prefills"`
	Imports     int    `json:"imports"`
	Decodes     int    `json:"decodes"`
	Resumes     int    `json:"resumes"`
	Cancels     int    `json:"cancels"`
	// Completed counts streams whose terminator was written.
	Completed int `json:"completed"`
}

// EngineStats answers GET /stats of an engine. Counts grow from the start of the
// process on, through crashes in place.
type EngineStats struct {
	Requests map[string]*RequestStats `json:"requests"`
	// Held counts streams and KV caches held now, PiecesUsed their memory.
	Held       int `json:"held"`
	PiecesUsed int `json:"pieces_used"`
	PiecesPeak int `json:"pieces_peak"`
	// Starts counts starts, the first included.
	Starts              int          `json:"starts"`
	PrefillTokens       int          `json:"prefill_tokens"`
	WastedPrefills      int          `json:"wasted_prefills"`
	WastedPrefillTokens int          `json:"wasted_prefill_tokens"`
	DecodedTokens       int          `json:"decoded_tokens"`
	ImportedBytes       int64        `json:"imported_bytes"`
	SlotRefusals        int          `json:"slot_refusals"`
	MemoryRefusals      int          `json:"memory_refusals"`
	Stalls              int          `json:"stalls"`
	OrphansFreed        int          `json:"orphans_freed"`
	CrashesOnText       int          `json:"crashes_on_text"`
	WorkWhileLeaving    int          `json:"work_while_leaving"`
	StaleOrders         int          `json:"stale_orders"`
	Role                string       `json:"role"`
	Models              []string     `json:"models"`
	Orders              []wire.Order `json:"orders"`
	Seen                []SeenCall   `json:"seen"`
}

// Stats returns a copy of what the engine counted.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Requests = make(map[string]*RequestStats, len(e.stats.Requests))
	for id, runs := range e.stats.Requests {
		copied := *runs
		out.Requests[id] = &copied
	}
	out.Held = len(e.streams) + len(e.caches)
	out.PiecesUsed = e.used
	out.Role = e.role
	out.Models = append([]string(nil), e.models...)
	out.Orders = append([]wire.Order(nil), e.stats.Orders...)
	out.Seen = e.gate.headers()
	return out
}

// runs returns the counts of a request; the caller holds mu.
func (e *Engine) runs(s wire.Stream) *RequestStats {
	runs, ok := e.stats.Requests[s.RequestID]
	if !ok {
		runs = &RequestStats{}
		e.stats.Requests[s.RequestID] = runs
	}
	runs.LastAttempt = max(runs.LastAttempt, s.Attempt)
	return runs
}

// Stats returns a copy of what the service counted.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.stats
	out.ByIdempotencyKey = maps.Clone(p.stats.ByIdempotencyKey)
	out.ByRequestID = maps.Clone(p.stats.ByRequestID)
	out.ByCall = maps.Clone(p.stats.ByCall)
	out.Seen = p.gate.headers()
	return out
}
