package stand

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// PlainConfig configures a plain service. Zero fields take the defaults.
type PlainConfig struct {
	// ServiceTime is how long a call takes; default 5 ms.
	ServiceTime time.Duration
	// Slots is the maximum number of concurrent calls; default 64. More are refused.
	Slots int
	// OnCrash, if set, is called instead of restarting in the process.
	OnCrash func()
}

// PlainStats is the response of GET /stats of a plain service. Every run counts as a
// side effect, because the service ignores idempotency keys.
type PlainStats struct {
	Runs             int            `json:"runs"`
	ByIdempotencyKey map[string]int `json:"by_idempotency_key"`
	ByRequestID      map[string]int `json:"by_request_id"`
	// ByCall counts runs by CallKey: method, path, query and hash of the body.
	ByCall           map[string]int `json:"by_call"`
	Refused          int            `json:"refused"`
	WorkWhileLeaving int            `json:"work_while_leaving"`
	Seen             []SeenCall     `json:"seen"`
}

// PlainAnswer is the body of every response of the service. It echoes the call, so that
// callers can check that they received the response to their own call.
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
	faults  *faultInjector
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
	p.faults = newFaultInjector(func() {}, cfg.OnCrash)
	return p
}

// Close does nothing. It exists for consistency with the other stand-ins.
func (p *Plain) Close() {}

// Handler returns the handler for the service, its faults and its statistics.
func (p *Plain) Handler() http.Handler {
	return p.faults.handler(http.HandlerFunc(p.handleCall), func() any { return p.Stats() })
}

// CallKey returns the key of a call in PlainStats.ByCall.
func CallKey(method, path, query string, body []byte) string {
	return method + " " + path + "?" + query + " " + PromptHash(string(body))
}

func (p *Plain) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !p.begin(r, body) {
		writeError(w, http.StatusServiceUnavailable, wire.CodeSlotsFull, "too many concurrent calls")
		return
	}
	sleep(r.Context(), p.faults.slowed(p.cfg.ServiceTime))
	p.mu.Lock()
	p.running--
	p.mu.Unlock()
	p.faults.respond(w, PlainAnswer{
		Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		Organisation:   r.Header.Get(wire.HeaderOrganisation),
		IdempotencyKey: r.Header.Get(wire.HeaderIdempotencyKey),
		BodyHash:       PromptHash(string(body)),
	})
}

// begin counts a call as run and reports whether a slot was free. Calls are counted at
// their start, because a crash during the call does not undo its effect.
func (p *Plain) begin(r *http.Request, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.cfg.Slots {
		p.stats.Refused++
		return false
	}
	p.running++
	p.stats.Runs++
	if p.faults.current().Leaving {
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
