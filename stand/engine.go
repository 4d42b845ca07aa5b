// Package stand holds small stand-ins for the systems outside the project: model
// engines, plain services, the log, the instance list and the weight store. Each
// serves the protocol of docs/PROTOCOLS.md, fails on order through POST /faults
// and tells at GET /stats what it saw. They serve tests, trials and a try-out of
// the router; they measure nothing about real engines.
package stand

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// EngineConfig sets an engine up. Zero fields take the defaults given here; they
// follow the sizes that operators report: about twenty requests a decode engine,
// memory in pieces of about 2,000 tokens, a KV cache that lives under a second.
type EngineConfig struct {
	// Role is RoleDecode by default.
	Role string
	// Models that the engine serves; empty means any.
	Models []string
	// Slots is the number of requests that a decode engine holds; 20.
	Slots int
	// Pieces of memory, 400, of PieceTokens tokens each, 2048.
	Pieces      int
	PieceTokens int
	// TokenTime is the time between two tokens of a stream; 10 ms.
	TokenTime time.Duration
	// PrefillTokensPerSecond is 8000. Prefills run one after the other.
	PrefillTokensPerSecond int
	// MaxQueued prefills wait; 32.
	MaxQueued int
	// KVTTL is the life of an unclaimed KV cache; 800 ms.
	KVTTL time.Duration
	// KVBytesPerToken is 160 KiB, as the scheduler estimates it.
	KVBytesPerToken int64
	// LinkBytesPerSecond limits imports; 25e9, which is 200 Gbit/s. A prompt of
	// 30,000 tokens then takes 0.2 s of the 0.8 s that its cache lives.
	LinkBytesPerSecond int64
	// ResumeTTL is how long a stream without a connection is held; 30 s.
	ResumeTTL time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of port.PrefixBlockWords
	// tokens; 8192, which is some twenty prompts of the longest kind.
	CacheBlocks int
	// EventLag delays cache events; 500 ms. Every EventLossEvery-th is lost; 16.
	EventLag       time.Duration
	EventLossEvery uint64
	// LoadLag is the age that a load report may reach; 500 ms.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// LoadTime is the time of an order to load; 200 ms. With Weights, the address
	// of a weight store, the engine waits for the store instead.
	LoadTime time.Duration
	Weights  string
	// OnCrash, if set, is called in place of an in-process restart.
	OnCrash func()
}

func (c EngineConfig) withDefaults() EngineConfig {
	setDefault(&c.Role, RoleDecode)
	setDefault(&c.Slots, 20)
	setDefault(&c.Pieces, 400)
	setDefault(&c.PieceTokens, 2048)
	setDefault(&c.TokenTime, 10*time.Millisecond)
	setDefault(&c.PrefillTokensPerSecond, 8000)
	setDefault(&c.MaxQueued, 32)
	setDefault(&c.KVTTL, 800*time.Millisecond)
	setDefault(&c.KVBytesPerToken, 160<<10)
	setDefault(&c.LinkBytesPerSecond, 25_000_000_000)
	setDefault(&c.ResumeTTL, 30*time.Second)
	setDefault(&c.CacheBlocks, 8192)
	setDefault(&c.EventLag, 500*time.Millisecond)
	setDefault(&c.EventLossEvery, 16)
	setDefault(&c.LoadLag, 500*time.Millisecond)
	setDefault(&c.LoadTime, 200*time.Millisecond)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// streamKey names one attempt of one request.
type streamKey struct {
	requestID string
	attempt   uint32
}

func keyOf(s wire.Stream) streamKey { return streamKey{s.RequestID, s.Attempt} }

// Engine is a stand-in model engine.
type Engine struct {
	cfg    EngineConfig
	gate   *gate
	client *http.Client
	// work wakes the decode loop; stop ends it.
	work    chan struct{}
	stop    context.CancelFunc
	stopped chan struct{}

	mu     sync.Mutex
	role   string
	models []string
	start  string
	used   int
	// epoch grows at each crash; work of an earlier one gives nothing back.
	epoch      int
	streams    map[streamKey]*stream
	caches     map[string]*kvCache
	prefills   map[streamKey]context.CancelFunc
	turns      turnQueue
	linkFree   time.Time
	prefixes   *prefixCache
	fence      uint64
	report     wire.Load
	reportDue  bool
	nextHandle int
	stats      EngineStats
}

// NewEngine returns a running engine; Close ends it.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, client: &http.Client{Transport: &http.Transport{}}, role: cfg.Role, models: cfg.Models,
		work: make(chan struct{}, 1), stop: stop, stopped: make(chan struct{}),
		stats: EngineStats{Requests: map[string]*RequestStats{}},
	}
	e.gate = newGate(e.restart, cfg.OnCrash)
	e.restart()
	go e.decodeLoop(ctx)
	return e
}

// restart empties the engine as a new process would be. What was counted stays.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.free(s)
	}
	for _, kv := range e.caches {
		e.drop(kv)
	}
	e.streams = map[streamKey]*stream{}
	e.caches = map[string]*kvCache{}
	e.prefills = map[streamKey]context.CancelFunc{}
	e.prefixes = newPrefixCache(e.cfg.CacheBlocks, e.cfg.EventLossEvery)
	e.used = 0
	e.epoch++
	e.stats.Starts++
	e.start = strconv.FormatInt(time.Now().UnixNano(), 36)
	e.report = e.loadNow()
}

// Close ends the engine's own work. Calls in progress end with their connections.
func (e *Engine) Close() {
	e.stop()
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.free(s)
	}
	for _, kv := range e.caches {
		e.drop(kv)
	}
	e.client.CloseIdleConnections()
}

// Handler serves the engine's protocol, its faults and its stats.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", e.handlePrefill)
	mux.HandleFunc("GET /v1/kv/{handle}", e.handleKV)
	mux.HandleFunc("DELETE /v1/kv/{handle}", e.handleKV)
	mux.HandleFunc("POST /v1/import", e.handleImport)
	mux.HandleFunc("POST /v1/decode", e.handleDecode)
	mux.HandleFunc("POST /v1/cancel", e.handleCancel)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/streams", e.handleStreams)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache-events", e.handleCacheEvents)
	return e.gate.handler(mux, func() any { return e.Stats() })
}

// admit checks what every new piece of work must meet and counts it.
func (e *Engine) admit(w http.ResponseWriter, role, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate.current().Leaving {
		e.stats.WorkWhileLeaving++
	}
	if e.role != role {
		writeError(w, http.StatusConflict, wire.CodeWrongRole, "this engine's role is "+e.role)
		return false
	}
	if !e.serves(model) {
		writeError(w, http.StatusNotFound, wire.CodeUnknownModel, "model is not loaded")
		return false
	}
	return true
}

func (e *Engine) serves(model string) bool {
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return len(e.models) == 0
}

// pieces returns the memory pieces of so many tokens.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.cfg.PieceTokens - 1) / e.cfg.PieceTokens
}

// take reserves pieces; the caller holds mu.
func (e *Engine) take(pieces int) bool {
	if e.used+pieces > e.cfg.Pieces {
		return false
	}
	e.used += pieces
	e.stats.PiecesPeak = max(e.stats.PiecesPeak, e.used)
	e.changed()
	return true
}

// give returns pieces; the caller holds mu.
func (e *Engine) give(pieces int) {
	e.used -= pieces
	e.changed()
}

// changed lets the load report follow, LoadLag later; the caller holds mu.
func (e *Engine) changed() {
	if e.reportDue {
		return
	}
	e.reportDue = true
	time.AfterFunc(e.cfg.LoadLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reportDue = false
		e.report = e.loadNow()
	})
}

func (e *Engine) loadNow() wire.Load {
	running := len(e.streams)
	if e.turns.busy {
		running++
	}
	return wire.Load{
		Role: e.role, Running: running, Slots: e.cfg.Slots, PiecesUsed: e.used, Pieces: e.cfg.Pieces,
		Queued: len(e.turns.waiting), Leaving: e.gate.current().Leaving, Start: e.start,
		Loaded: slices.Clone(e.models),
	}
}
