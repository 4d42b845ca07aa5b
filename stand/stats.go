package stand

import (
	"maps"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// RequestStats counts the operations of an engine for one request, over all attempts.
type RequestStats struct {
	PromptHash string `json:"prompt_hash,omitempty"`
	// LastAttempt is the highest attempt number received.
	LastAttempt uint32 `json:"last_attempt"`
	Prefills    int    `json:"prefills"`
	Imports     int    `json:"imports"`
	Decodes     int    `json:"decodes"`
	Resumes     int    `json:"resumes"`
	Cancels     int    `json:"cancels"`
	// Completed is the number of streams whose terminator was written.
	Completed int `json:"completed"`
}

// EngineStats is the response of GET /stats of an engine. Counters start at the start of
// the process and are not reset by restarts in the process.
type EngineStats struct {
	Requests map[string]*RequestStats `json:"requests"`
	// Held is the number of streams and KV caches currently held, PiecesUsed their
	// memory.
	Held       int `json:"held"`
	PiecesUsed int `json:"pieces_used"`
	PiecesPeak int `json:"pieces_peak"`
	// Starts is the number of starts, including the first.
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

// Stats returns a copy of the engine's statistics.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Requests = make(map[string]*RequestStats, len(e.stats.Requests))
	for id, stats := range e.stats.Requests {
		copied := *stats
		out.Requests[id] = &copied
	}
	out.Held = len(e.streams) + len(e.caches)
	out.PiecesUsed = e.piecesUsed
	out.Role = e.role
	out.Models = append([]string(nil), e.models...)
	out.Orders = append([]wire.Order(nil), e.stats.Orders...)
	out.Seen = e.faults.seenCalls()
	return out
}

// requestStats returns the statistics of a request. The caller must hold mu.
func (e *Engine) requestStats(s wire.Stream) *RequestStats {
	stats, ok := e.stats.Requests[s.RequestID]
	if !ok {
		stats = &RequestStats{}
		e.stats.Requests[s.RequestID] = stats
	}
	stats.LastAttempt = max(stats.LastAttempt, s.Attempt)
	return stats
}

// Stats returns a copy of the service's statistics.
func (p *Plain) Stats() PlainStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.stats
	out.ByIdempotencyKey = maps.Clone(p.stats.ByIdempotencyKey)
	out.ByRequestID = maps.Clone(p.stats.ByRequestID)
	out.ByCall = maps.Clone(p.stats.ByCall)
	out.Seen = p.faults.seenCalls()
	return out
}
