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

// sampleBytes is how many bytes at each end of a prompt are searched for
// Faults.CrashOnText.
const sampleBytes = 512

// kvCache is a computed KV cache that has not been imported yet.
type kvCache struct {
	handle string
	stream wire.Stream
	kv     wire.KV
	pieces int
	expiry *time.Timer
}

// prefillQueue runs one prefill at a time. Waiting prefills are ordered by priority
// number, lowest first, and then by waiting time.
type prefillQueue struct {
	busy    bool
	waiting []*queueEntry
}

type queueEntry struct {
	priority int
	ready    chan struct{}
}

func (q *prefillQueue) enqueue(priority int) *queueEntry {
	entry := &queueEntry{priority: priority, ready: make(chan struct{})}
	if !q.busy {
		q.busy = true
		close(entry.ready)
		return entry
	}
	at := len(q.waiting)
	for at > 0 && q.waiting[at-1].priority > priority {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, entry)
	return entry
}

// remove removes a prefill that is waiting or running. If it was running, the next one
// starts.
func (q *prefillQueue) remove(entry *queueEntry) {
	if at := slices.Index(q.waiting, entry); at >= 0 {
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
	entry := e.enqueuePrefill(w, req, cancel)
	if entry == nil {
		return
	}
	defer e.dequeuePrefill(req.Stream, entry)
	select {
	case <-entry.ready:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	if e.crashOnText(promptSample(req.Prompt)) {
		return
	}
	kv, cached, ok := e.runPrefill(ctx, w, req)
	if !ok {
		return
	}
	e.faults.respond(w, wire.PrefillResult{
		Handle: kv.handle, Tokens: kv.kv.Tokens, CachedTokens: cached,
		ExpiresMS: e.cfg.KVTTL.Milliseconds(), Bytes: kv.kv.Bytes,
	})
}

func (e *Engine) enqueuePrefill(w http.ResponseWriter, req wire.PrefillRequest, cancel context.CancelFunc) *queueEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue.waiting) >= e.cfg.MaxQueued {
		writeError(w, http.StatusServiceUnavailable, wire.CodeQueueFull, "too many prefills are waiting")
		return nil
	}
	e.prefills[keyOf(req.Stream)] = cancel
	e.scheduleReport()
	return e.queue.enqueue(req.Priority)
}

func (e *Engine) dequeuePrefill(s wire.Stream, entry *queueEntry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.prefills, keyOf(s))
	e.queue.remove(entry)
	e.scheduleReport()
}

// runPrefill waits for the computing time of the uncached tokens and stores the KV
// cache.
func (e *Engine) runPrefill(ctx context.Context, w http.ResponseWriter, req wire.PrefillRequest) (*kvCache, int, bool) {
	tokens := CountTokens(req.Prompt) + len(req.Generated)
	kv := &kvCache{stream: req.Stream, pieces: e.piecesFor(tokens), kv: wire.KV{
		Model: req.Model, Tokens: tokens, Generated: len(req.Generated), Bytes: int64(tokens) * e.cfg.KVBytesPerToken,
		PromptHash: PromptHash(req.Prompt), Sample: promptSample(req.Prompt),
	}}
	hashes := port.MeasurePrompt(req.Prompt).Prefixes
	e.mu.Lock()
	if !e.reservePieces(kv.pieces) {
		e.mu.Unlock()
		writeError(w, http.StatusServiceUnavailable, wire.CodeMemoryShort, "not enough memory for the prompt")
		return nil, 0, false
	}
	stats := e.requestStats(req.Stream)
	stats.Prefills++
	stats.PromptHash = kv.kv.PromptHash
	e.stats.PrefillTokens += tokens
	cached := e.prefixes.match(hashes) * port.PrefixBlockWords
	epoch := e.epoch
	e.mu.Unlock()

	work := time.Duration(tokens-cached) * time.Second / time.Duration(e.cfg.PrefillTokensPerSecond)
	done := sleep(ctx, e.faults.slowed(work))

	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch != e.epoch {
		panic(http.ErrAbortHandler)
	}
	if !done {
		e.releasePieces(kv.pieces)
		e.countWasted(kv)
		panic(http.ErrAbortHandler)
	}
	e.prefixes.store(hashes, time.Now().Add(e.cfg.EventLag))
	e.storeCache(kv)
	return kv, cached, true
}

// storeCache stores a KV cache until it is imported or expires. The caller must hold mu.
func (e *Engine) storeCache(kv *kvCache) {
	e.nextHandle++
	kv.handle = e.start + "-" + kv.stream.RequestID + "-" + strconv.Itoa(e.nextHandle)
	e.caches[kv.handle] = kv
	kv.expiry = time.AfterFunc(e.cfg.KVTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.caches[kv.handle] == kv {
			e.removeCache(kv)
			e.countWasted(kv)
		}
	})
}

// removeCache frees a KV cache. The caller must hold mu.
func (e *Engine) removeCache(kv *kvCache) {
	kv.expiry.Stop()
	delete(e.caches, kv.handle)
	e.releasePieces(kv.pieces)
}

func (e *Engine) countWasted(kv *kvCache) {
	e.stats.WastedPrefills++
	e.stats.WastedPrefillTokens += kv.kv.Tokens
}

// handleKV returns the description of a KV cache. On DELETE, it also frees the cache.
func (e *Engine) handleKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv, ok := e.caches[r.PathValue("handle")]
	if ok && r.Method == http.MethodDelete {
		e.removeCache(kv)
	}
	e.mu.Unlock()
	if !ok {
		writeError(w, http.StatusGone, wire.CodeKVExpired, "the KV cache does not exist or has expired")
		return
	}
	writeJSON(w, kv.kv)
}

func promptSample(prompt string) string {
	if len(prompt) <= 2*sampleBytes {
		return prompt
	}
	return prompt[:sampleBytes] + prompt[len(prompt)-sampleBytes:]
}

// crashOnText crashes the engine if the prompt contains Faults.CrashOnText, and reports
// whether it did.
func (e *Engine) crashOnText(sample string) bool {
	text := e.faults.current().CrashOnText
	if text == "" || !strings.Contains(sample, text) {
		return false
	}
	e.mu.Lock()
	e.stats.CrashesOnText++
	e.mu.Unlock()
	e.faults.crash()
	return true
}
