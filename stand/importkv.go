package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// phaseImporting is the phase of a stream whose KV cache is being transferred. It is
// listed as imported.
const phaseImporting = "importing"

// handleImport fetches a KV cache. It waits for the transfer time of the cache and
// claims it at the end, so that a cache that expires during the transfer is lost.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req wire.ImportRequest
	if !readJSON(w, r, &req) || !e.admit(w, RoleDecode, req.Model) {
		return
	}
	s, imported := e.reserveSlot(w, req)
	if imported {
		e.faults.respond(w, struct{}{})
	}
	if s == nil {
		return
	}
	if !e.transfer(r.Context(), w, req, s) {
		e.mu.Lock()
		e.freeStream(s)
		e.mu.Unlock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	e.faults.respond(w, struct{}{})
}

// reserveSlot reserves one of the engine's slots. If the attempt has already been
// imported, it reserves nothing and says so, so that a call can be repeated after a lost
// response.
func (e *Engine) reserveSlot(w http.ResponseWriter, req wire.ImportRequest) (s *stream, imported bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.streams[keyOf(req.Stream)]
	if ok && old.phase != phaseImporting {
		return nil, true
	}
	if ok || len(e.streams) >= e.cfg.Slots {
		e.stats.SlotRefusals++
		writeError(w, http.StatusServiceUnavailable, wire.CodeSlotsFull, "all slots are in use")
		return nil, false
	}
	s = &stream{id: req.Stream, phase: phaseImporting, wake: make(chan struct{}, 1)}
	e.streams[keyOf(req.Stream)] = s
	e.scheduleReport()
	return s, false
}

// transfer imports the KV cache and reports whether it succeeded. Otherwise, it has
// written an error response, unless the caller has gone.
func (e *Engine) transfer(ctx context.Context, w http.ResponseWriter, req wire.ImportRequest, s *stream) bool {
	kv, ok := e.fetchKV(ctx, w, http.MethodGet, req)
	if !ok {
		return false
	}
	wait, ok := e.reserveLink(w, s, kv)
	if !ok || !sleep(ctx, wait) {
		return false
	}
	if _, ok = e.fetchKV(ctx, w, http.MethodDelete, req); !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.freed {
		writeError(w, http.StatusConflict, wire.CodeUnknownStream, "cancelled during the transfer")
		return false
	}
	s.phase = phaseImported
	s.generated = kv.Generated
	e.requestStats(req.Stream).Imports++
	e.stats.ImportedBytes += kv.Bytes
	e.detach(s)
	return true
}

// reserveLink reserves memory for the prompt and its first token, and the next free
// time on the link. It returns the time until the transfer is complete.
func (e *Engine) reserveLink(w http.ResponseWriter, s *stream, kv wire.KV) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	need := e.piecesFor(kv.Tokens + 1)
	if s.freed || !e.reservePieces(need) {
		e.stats.MemoryRefusals++
		writeError(w, http.StatusServiceUnavailable, wire.CodeMemoryShort, "not enough memory for the KV cache")
		return 0, false
	}
	s.pieces = need
	s.kv = kv
	now := time.Now()
	if e.linkFreeAt.Before(now) {
		e.linkFreeAt = now
	}
	transferTime := time.Duration(float64(kv.Bytes) / float64(e.cfg.LinkBytesPerSecond) * float64(time.Second))
	e.linkFreeAt = e.linkFreeAt.Add(e.faults.slowed(transferTime))
	return e.linkFreeAt.Sub(now), true
}

// fetchKV calls the prefill engine for a KV cache; with DELETE, it claims the cache.
func (e *Engine) fetchKV(ctx context.Context, w http.ResponseWriter, method string, req wire.ImportRequest) (wire.KV, bool) {
	var kv wire.KV
	target := "http://" + req.Source + "/v1/kv/" + url.PathEscape(req.Handle)
	fetch, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeInvalid, err.Error())
		return kv, false
	}
	resp, err := e.client.Do(fetch)
	if err != nil {
		writeError(w, http.StatusBadGateway, wire.CodeKVUnreachable, "the prefill engine did not respond")
		return kv, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&kv) != nil {
		writeError(w, http.StatusGone, wire.CodeKVExpired, "the KV cache has expired")
		return kv, false
	}
	return kv, true
}
