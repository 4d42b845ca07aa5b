package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// phaseImporting is a slot that is held while the KV cache is on the link; it is
// listed as imported.
const phaseImporting = "importing"

// handleImport fetches a KV cache. It takes the link's time for the cache's bytes
// and claims the cache at the end, so that one that expires on the way is lost.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var req wire.ImportRequest
	if !readJSON(w, r, &req) || !e.admit(w, RoleDecode, req.Model) {
		return
	}
	s, held := e.holdSlot(w, req)
	if held {
		e.gate.answer(w, struct{}{})
	}
	if s == nil {
		return
	}
	if !e.transfer(r.Context(), w, req, s) {
		e.mu.Lock()
		e.free(s)
		e.mu.Unlock()
		if r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		return
	}
	e.gate.answer(w, struct{}{})
}

// holdSlot takes one of the engine's slots. A second import of an attempt that is
// already here does nothing, so that a lost answer can be repeated.
func (e *Engine) holdSlot(w http.ResponseWriter, req wire.ImportRequest) (s *stream, held bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.streams[keyOf(req.Stream)]
	if ok && old.phase != phaseImporting {
		return nil, true
	}
	if ok || len(e.streams) >= e.cfg.Slots {
		e.stats.SlotRefusals++
		writeError(w, http.StatusServiceUnavailable, wire.CodeSlotsFull, "every slot is held")
		return nil, false
	}
	s = &stream{id: req.Stream, phase: phaseImporting, wake: make(chan struct{}, 1)}
	e.streams[keyOf(req.Stream)] = s
	e.changed()
	return s, false
}

// transfer reports whether the KV cache is here; otherwise it has refused.
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
	e.runs(req.Stream).Imports++
	e.stats.ImportedBytes += kv.Bytes
	e.detach(s)
	return true
}

// reserveLink takes memory for the prompt and its first token, and the link's
// next free time. It returns how long the transfer takes from now.
func (e *Engine) reserveLink(w http.ResponseWriter, s *stream, kv wire.KV) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	need := e.pieces(kv.Tokens + 1)
	if s.freed || !e.take(need) {
		e.stats.MemoryRefusals++
		writeError(w, http.StatusServiceUnavailable, wire.CodeMemoryShort, "not enough memory for the KV cache")
		return 0, false
	}
	s.pieces = need
	s.kv = kv
	now := time.Now()
	if e.linkFree.Before(now) {
		e.linkFree = now
	}
	onLink := time.Duration(float64(kv.Bytes) / float64(e.cfg.LinkBytesPerSecond) * float64(time.Second))
	e.linkFree = e.linkFree.Add(e.gate.slowed(onLink))
	return e.linkFree.Sub(now), true
}

// fetchKV asks the prefill engine for a KV cache; DELETE takes it away from there.
func (e *Engine) fetchKV(ctx context.Context, w http.ResponseWriter, method string, req wire.ImportRequest) (wire.KV, bool) {
	var kv wire.KV
	target := "http://" + req.Source + "/v1/kv/" + url.PathEscape(req.Handle)
	call, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		writeError(w, http.StatusBadRequest, wire.CodeInvalid, err.Error())
		return kv, false
	}
	resp, err := e.client.Do(call)
	if err != nil {
		writeError(w, http.StatusBadGateway, wire.CodeKVUnreachable, "the prefill engine did not answer")
		return kv, false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&kv) != nil {
		writeError(w, http.StatusGone, wire.CodeKVExpired, "the KV cache is gone")
		return kv, false
	}
	return kv, true
}
