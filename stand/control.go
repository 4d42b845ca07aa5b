package stand

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Order kinds.
const (
	orderLoadModel   = "load_model"
	orderLoadAdapter = "load_adapter"
	orderSetRole     = "set_role"
)

// handleCancel frees everything that is held for an attempt. An unknown attempt is not
// an error.
func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var id wire.Stream
	if !readJSON(w, r, &id) {
		return
	}
	e.mu.Lock()
	e.requestStats(id).Cancels++
	if stop, ok := e.prefills[keyOf(id)]; ok {
		stop()
	}
	for _, kv := range e.caches {
		if keyOf(kv.stream) == keyOf(id) {
			e.removeCache(kv)
			e.countWasted(kv)
		}
	}
	if s, ok := e.streams[keyOf(id)]; ok {
		e.freeStream(s)
	}
	e.mu.Unlock()
	e.faults.respond(w, struct{}{})
}

// handleOrder loads a model or adapter, or changes the role. Without fencing checks,
// the engine executes every order and the last one to arrive takes effect.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if !readJSON(w, r, &order) || !e.acceptOrder(w, order) {
		return
	}
	if order.Kind != orderSetRole && !e.loadWeights(r, order.Name) {
		writeError(w, http.StatusServiceUnavailable, wire.CodeUnavailable, "loading the weights failed")
		return
	}
	e.mu.Lock()
	switch order.Kind {
	case orderSetRole:
		e.role = order.Name
	case orderLoadModel:
		e.models = append(e.models, order.Name)
	}
	e.stats.Orders = append(e.stats.Orders, order)
	e.scheduleReport()
	e.mu.Unlock()
	e.faults.respond(w, struct{}{})
}

func (e *Engine) acceptOrder(w http.ResponseWriter, order wire.Order) bool {
	switch order.Kind {
	case orderLoadModel, orderLoadAdapter, orderSetRole:
	default:
		writeError(w, http.StatusBadRequest, wire.CodeInvalid, "unknown order kind")
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && order.Fence < e.fence {
		e.stats.StaleOrders++
		writeError(w, http.StatusConflict, wire.CodeStaleFence, "an order with a newer fencing token was received")
		return false
	}
	e.fence = max(e.fence, order.Fence)
	return true
}

// loadWeights waits until the weights are loaded, from the weight store if one is configured,
// and reports whether that succeeded.
func (e *Engine) loadWeights(r *http.Request, name string) bool {
	if e.cfg.Weights == "" {
		return sleep(r.Context(), e.faults.slowed(e.cfg.LoadTime))
	}
	target := "http://" + e.cfg.Weights + "/v1/weights/" + url.PathEscape(name) + "/content"
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *Engine) handleStreams(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	states := []wire.StreamState{}
	for _, s := range e.streams {
		phase := s.phase
		if phase == phaseImporting {
			phase = phaseImported
		}
		states = append(states, wire.StreamState{Stream: s.id, Phase: phase, Pieces: s.pieces})
	}
	for _, kv := range e.caches {
		states = append(states, wire.StreamState{Stream: kv.stream, Phase: phasePrefilled, Pieces: kv.pieces})
	}
	e.mu.Unlock()
	writeJSON(w, states)
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	// Every read schedules an update, so that Leaving is reported eventually.
	e.scheduleReport()
	report := e.report
	e.mu.Unlock()
	writeJSON(w, report)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	e.mu.Lock()
	events := e.prefixes.after(after, time.Now())
	e.mu.Unlock()
	writeJSON(w, events)
}
