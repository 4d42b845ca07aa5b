package stand

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// PlainConfig sets a plain service up.
type PlainConfig struct {
	// ServiceTime of a call; 5 ms.
	ServiceTime time.Duration
	// Slots is the number of calls that run at once; 64. More are refused.
	Slots int
	// OnCrash, if set, is called in place of an in-process restart.
	OnCrash func()
}

// PlainStats answers GET /stats of a plain service. Every run counts as an
// effect: the service does not look at idempotency keys.
type PlainStats struct {
	Runs             int            `json:"runs"`
	ByIdempotencyKey map[string]int `json:"by_idempotency_key"`
	ByRequestID      map[string]int `json:"by_request_id"`
	// ByCall counts by method, path, query and the hash of the body.
	ByCall           map[string]int `json:"by_call"`
	Refused          int            `json:"refused"`
	WorkWhileLeaving int            `json:"work_while_leaving"`
	Seen             []SeenCall     `json:"seen"`
}

// PlainAnswer is the body of every answer of the service. It echoes the call, so
// that a caller can tell whether the answer is its own.
type PlainAnswer struct {
	Method         string `json:"method"`
	Path           string `json:"path"`
	Query          string `json:"query"`
	Organisation   string `json:"organisation"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	BodyHash       string `json:"body_hash"`
}

// Plain is a stand-in plain service. It answers every method on every path.
type Plain struct {
	cfg     PlainConfig
	gate    *gate
	mu      sync.Mutex
	running int
	stats   PlainStats
}

// NewPlain returns a plain service.
func NewPlain(cfg PlainConfig) *Plain {
	setDefault(&cfg.ServiceTime, 5*time.Millisecond)
	setDefault(&cfg.Slots, 64)
	p := &Plain{cfg: cfg, stats: PlainStats{
		ByIdempotencyKey: map[string]int{}, ByRequestID: map[string]int{}, ByCall: map[string]int{},
	}}
	p.gate = newGate(func() {}, cfg.OnCrash)
	return p
}

// Close does nothing; it is there for symmetry with the other stand-ins.
func (p *Plain) Close() {}

// Handler serves the service, its faults and its stats.
func (p *Plain) Handler() http.Handler {
	return p.gate.handler(http.HandlerFunc(p.handleCall), func() any { return p.Stats() })
}

// CallKey is the key of a call in PlainStats.ByCall.
func CallKey(method, path, query string, body []byte) string {
	return method + " " + path + "?" + query + " " + PromptHash(string(body))
}

func (p *Plain) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !p.begin(r, body) {
		writeError(w, http.StatusServiceUnavailable, wire.CodeSlotsFull, "too many calls at once")
		return
	}
	sleep(r.Context(), p.gate.slowed(p.cfg.ServiceTime))
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	p.gate.answer(w, PlainAnswer{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Organisation:   r.Header.Get(wire.HeaderOrganisation),
		IdempotencyKey: r.Header.Get(wire.HeaderIdempotencyKey),
		BodyHash:       PromptHash(string(body)),
	})
}

// begin counts a call as run, at its start: a crash during it leaves the effect.
func (p *Plain) begin(r *http.Request, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.cfg.Slots {
		p.stats.Refused++
		return false
	}
	p.running++
	p.stats.Runs++
	if p.gate.current().Leaving {
		p.stats.WorkWhileLeaving++
	}
	if key := r.Header.Get(wire.HeaderIdempotencyKey); key != "" {
		p.stats.ByIdempotencyKey[key]++
	}
	if id := r.Header.Get(wire.HeaderRequestID); id != "" {
		p.stats.ByRequestID[id]++
	}
	p.stats.ByCall[CallKey(r.Method, r.URL.Path, r.URL.RawQuery, body)]++
	return true
}
