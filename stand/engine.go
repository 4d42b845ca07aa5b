// Package stand provides simple stand-ins for the external systems: model engines,
// plain services, the log, the instance list and the weight store. Each implements the
// protocol of docs/PROTOCOLS.md, injects faults set by POST /faults and reports at
// GET /stats which calls it received. They are meant for tests, experiments and trying
// out the router; results obtained with them do not apply to real engines.
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

// Engine roles.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// EngineConfig configures an engine. Zero fields take the defaults stated for each
// field. They follow the figures that operators report: about twenty requests per
// decode engine, memory in pieces of about 2,000 tokens and a KV cache TTL below one
// second.
type EngineConfig struct {
	// Role defaults to RoleDecode.
	Role string
	// Models lists the models that the engine serves; if empty, it serves any.
	Models []string
	// Slots is the maximum number of requests on a decode engine; default 20.
	Slots int
	// Pieces is the number of memory pieces, default 400, with PieceTokens tokens
	// each, default 2048.
	Pieces      int
	PieceTokens int
	// TokenTime is the time between two tokens of a stream; default 10 ms.
	TokenTime time.Duration
	// PrefillTokensPerSecond defaults to 8000. Prefills run one at a time.
	PrefillTokensPerSecond int
	// MaxQueued is the maximum number of waiting prefills; default 32.
	MaxQueued int
	// KVTTL is how long a KV cache is kept unless it is imported; default 800 ms.
	KVTTL time.Duration
	// KVBytesPerToken defaults to 160 KiB, the scheduler's estimate.
	KVBytesPerToken int64
	// LinkBytesPerSecond is the bandwidth for imports; default 25e9, or 200 Gbit/s. The
	// transfer for a prompt of 30,000 tokens then takes 0.2 s of its cache's TTL of
	// 0.8 s.
	LinkBytesPerSecond int64
	// ResumeTTL is how long a stream without a connection is kept; default 30 s.
	ResumeTTL time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of
	// port.PrefixBlockWords tokens; default 8192, enough for about twenty prompts of
	// maximum length.
	CacheBlocks int
	// EventLag is the delay of cache events; default 500 ms. Every EventLossEvery-th
	// event is lost; default 16.
	EventLag       time.Duration
	EventLossEvery uint64
	// LoadLag is the maximum age of a load report; default 500 ms.
	LoadLag time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing token.
	ChecksFencing bool
	// LoadTime is how long an order to load takes; default 200 ms. If Weights, the
	// address of a weight store, is set, the engine reads from the store instead.
	LoadTime time.Duration
	Weights  string
	// OnCrash, if set, is called instead of restarting in the process.
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

// streamKey identifies one attempt of a request.
type streamKey struct {
	requestID string
	attempt   uint32
}

func keyOf(s wire.Stream) streamKey { return streamKey{s.RequestID, s.Attempt} }

// Engine is a stand-in model engine.
type Engine struct {
	cfg    EngineConfig
	faults *faultInjector
	client *http.Client
	// wakeDecode wakes up the decode loop; stop ends it.
	wakeDecode chan struct{}
	stop       context.CancelFunc
	stopped    chan struct{}

	mu         sync.Mutex
	role       string
	models     []string
	start      string
	piecesUsed int
	// epoch increases at each crash. Work started in an earlier epoch must not release
	// memory.
	epoch         int
	streams       map[streamKey]*stream
	caches        map[string]*kvCache
	prefills      map[streamKey]context.CancelFunc
	queue         prefillQueue
	linkFreeAt    time.Time
	prefixes      *prefixCache
	fence         uint64
	report        wire.Load
	reportPending bool
	nextHandle    int
	stats         EngineStats
}

// NewEngine returns a running engine. It must be closed by Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg: cfg, client: &http.Client{Transport: &http.Transport{}}, role: cfg.Role, models: cfg.Models,
		wakeDecode: make(chan struct{}, 1), stop: stop, stopped: make(chan struct{}),
		stats: EngineStats{Requests: map[string]*RequestStats{}},
	}
	e.faults = newFaultInjector(e.restart, cfg.OnCrash)
	e.restart()
	go e.decodeLoop(ctx)
	return e
}

// restart clears the engine's state, as a restart of the process would. Its statistics
// are kept.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.freeStream(s)
	}
	for _, kv := range e.caches {
		e.removeCache(kv)
	}
	e.streams = map[streamKey]*stream{}
	e.caches = map[string]*kvCache{}
	e.prefills = map[streamKey]context.CancelFunc{}
	e.prefixes = newPrefixCache(e.cfg.CacheBlocks, e.cfg.EventLossEvery)
	e.piecesUsed = 0
	e.epoch++
	e.stats.Starts++
	e.start = strconv.FormatInt(time.Now().UnixNano(), 36)
	e.report = e.currentLoad()
}

// Close stops the decode loop and frees all streams and caches. Calls in progress end
// with their connections.
func (e *Engine) Close() {
	e.stop()
	<-e.stopped
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.freeStream(s)
	}
	for _, kv := range e.caches {
		e.removeCache(kv)
	}
	e.client.CloseIdleConnections()
}

// Handler returns the handler for the engine's protocol, faults and statistics.
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
	return e.faults.handler(mux, func() any { return e.Stats() })
}

// admit checks that the engine has the role and model that new work requires, and
// refuses the call otherwise. It counts new work for an engine that is leaving.
func (e *Engine) admit(w http.ResponseWriter, role, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.current().Leaving {
		e.stats.WorkWhileLeaving++
	}
	if e.role != role {
		writeError(w, http.StatusConflict, wire.CodeWrongRole, "this engine's role is "+e.role)
		return false
	}
	if !e.hasModel(model) {
		writeError(w, http.StatusNotFound, wire.CodeUnknownModel, "the model is not loaded")
		return false
	}
	return true
}

func (e *Engine) hasModel(model string) bool {
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return len(e.models) == 0
}

// piecesFor returns the number of memory pieces that hold the given number of tokens.
func (e *Engine) piecesFor(tokens int) int {
	return (tokens + e.cfg.PieceTokens - 1) / e.cfg.PieceTokens
}

// reservePieces reserves memory and reports whether there was enough. The caller must
// hold mu.
func (e *Engine) reservePieces(pieces int) bool {
	if e.piecesUsed+pieces > e.cfg.Pieces {
		return false
	}
	e.piecesUsed += pieces
	e.stats.PiecesPeak = max(e.stats.PiecesPeak, e.piecesUsed)
	e.scheduleReport()
	return true
}

// releasePieces releases memory. The caller must hold mu.
func (e *Engine) releasePieces(pieces int) {
	e.piecesUsed -= pieces
	e.scheduleReport()
}

// scheduleReport schedules an update of the load report after LoadLag. The caller must
// hold mu.
func (e *Engine) scheduleReport() {
	if e.reportPending {
		return
	}
	e.reportPending = true
	time.AfterFunc(e.cfg.LoadLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reportPending = false
		e.report = e.currentLoad()
	})
}

func (e *Engine) currentLoad() wire.Load {
	running := len(e.streams)
	if e.queue.busy {
		running++
	}
	return wire.Load{
		Role: e.role, Running: running, Slots: e.cfg.Slots, PiecesUsed: e.piecesUsed, Pieces: e.cfg.Pieces,
		Queued: len(e.queue.waiting), Leaving: e.faults.current().Leaving, Start: e.start,
		Loaded: slices.Clone(e.models),
	}
}
