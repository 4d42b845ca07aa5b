package stand

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// sampleBytes of either end of a prompt are searched for CrashOnText.
const sampleBytes = 512

// kvCache is a computed KV cache that waits to be imported.
type kvCache struct {
	handle string
	stream wire.Stream
	kv     wire.KV
	pieces int
	expiry *time.Timer
}

// turnQueue lets one prefill run at a time; of those that wait, the lowest
// priority number goes first, then the longest wait.
type turnQueue struct {
	busy    bool
	waiting []*turn
}

type turn struct {
	priority int
	ready    chan struct{}
}

func (q *turnQueue) join(priority int) *turn {
	t := &turn{priority: priority, ready: make(chan struct{})}
	if !q.busy {
		q.busy = true
		close(t.ready)
		return t
	}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, t)
	return t
}

// leave gives up a place or a turn; the next in line gets the turn.
func (q *turnQueue) leave(t *turn) {
	if at := slices.Index(q.waiting, t); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		return
	}
	if len(q.waiting) == 0 {
		q.busy = false
		return
	}
	next := q.waiting[0]
	q.waiting = q.waiting[1:]
	close(next.ready)
}

func (e *Engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var req wire.PrefillRequest
	if !readJSON(w, r, &req) || !e.admit(w, RolePrefill, req.Model) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	t := e.joinPrefill(w, req, cancel)
	if t == nil {
		return
	}
	defer e.leavePrefill(req.Stream, t)
	select {
	case <-t.ready:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if e.crashesOn(sample(req.Prompt)) {
		return
	}
	kv, cached, ok := e.runPrefill(ctx, w, req)
	if !ok {
		return
	}
	e.gate.answer(w, wire.PrefillResult{
		Handle: kv.handle, Tokens: kv.kv.Tokens, CachedTokens: cached,
		ExpiresMS: e.cfg.KVTTL.Milliseconds(), Bytes: kv.kv.Bytes,
	})
}

func (e *Engine) joinPrefill(w http.ResponseWriter, req wire.PrefillRequest, cancel context.CancelFunc) *turn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.turns.waiting) >= e.cfg.MaxQueued {
		writeError(w, http.StatusServiceUnavailable, wire.CodeQueueFull, "too many prefills wait")
		return nil
	}
	e.prefills[keyOf(req.Stream)] = cancel
	e.changed()
	return e.turns.join(req.Priority)
}

func (e *Engine) leavePrefill(s wire.Stream, t *turn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.prefills, keyOf(s))
	e.turns.leave(t)
	e.changed()
}

// runPrefill computes for as long as the uncached tokens take and keeps the result.
func (e *Engine) runPrefill(ctx context.Context, w http.ResponseWriter, req wire.PrefillRequest) (*kvCache, int, bool) {
	tokens := CountTokens(req.Prompt) + len(req.Generated)
	kv := &kvCache{stream: req.Stream, pieces: e.pieces(tokens), kv: wire.KV{
		Model: req.Model, Tokens: tokens, Generated: len(req.Generated), Bytes: int64(tokens) * e.cfg.KVBytesPerToken,
		PromptHash: PromptHash(req.Prompt), Sample: sample(req.Prompt),
	}}
	hashes := port.MeasurePrompt(req.Prompt).Prefixes
	e.mu.Lock()
	if !e.take(kv.pieces) {
		e.mu.Unlock()
		writeError(w, http.StatusServiceUnavailable, wire.CodeMemoryShort, "not enough memory for the prompt")
		return nil, 0, false
	}
	runs := e.runs(req.Stream)
	runs.Prefills++
	runs.PromptHash = kv.kv.PromptHash
	e.stats.PrefillTokens += tokens
	cached := e.prefixes.match(hashes) * port.PrefixBlockWords
	epoch := e.epoch
	e.mu.Unlock()

	work := time.Duration(tokens-cached) * time.Second / time.Duration(e.cfg.PrefillTokensPerSecond)
	done := sleep(ctx, e.gate.slowed(work))

	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.epoch {
		panic(http.ErrAbortHandler)
	}
	if !done {
		e.give(kv.pieces)
		e.wasted(kv)
		panic(http.ErrAbortHandler)
	}
	e.prefixes.store(hashes, time.Now().Add(e.cfg.EventLag))
	e.keep(kv)
	return kv, cached, true
}

// keep holds a KV cache until it is taken or expires; the caller holds mu.
func (e *Engine) keep(kv *kvCache) {
	e.nextHandle++
	kv.handle = e.start + "-" + kv.stream.RequestID + "-" + strconv.Itoa(e.nextHandle)
	e.caches[kv.handle] = kv
	kv.expiry = time.AfterFunc(e.cfg.KVTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.caches[kv.handle] == kv {
			e.drop(kv)
			e.wasted(kv)
		}
	})
}

// drop frees a KV cache; the caller holds mu.
func (e *Engine) drop(kv *kvCache) {
	kv.expiry.Stop()
	delete(e.caches, kv.handle)
	e.give(kv.pieces)
}

func (e *Engine) wasted(kv *kvCache) {
	e.stats.WastedPrefills++
	e.stats.WastedPrefillTokens += kv.kv.Tokens
}

// handleKV describes a waiting KV cache, or gives it away on DELETE.
func (e *Engine) handleKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv, ok := e.caches[r.PathValue("handle")]
	if ok && r.Method == http.MethodDelete {
		e.drop(kv)
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusGone, wire.CodeKVExpired, "no such KV cache, or it expired")
		return
	}
	writeJSON(w, kv.kv)
}

func sample(prompt string) string {
	if len(prompt) <= 2*sampleBytes {
		return prompt
	}
	return prompt[:sampleBytes] + prompt[len(prompt)-sampleBytes:]
}

// crashesOn crashes the engine when a fault is set on the text of a prompt.
func (e *Engine) crashesOn(sample string) bool {
	text := e.gate.current().CrashOnText
	if text == "" || !strings.Contains(sample, text) {
		return false
	}
	e.mu.Lock()
	e.stats.CrashesOnText++
	e.mu.Unlock()
	e.gate.crash()
	return true
}
