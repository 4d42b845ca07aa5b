package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Stream phases in GET /v1/streams.
const (
	phasePrefilled = "prefilled"
	phaseImported  = "imported"
	phaseDecoding  = "decoding"
)

// stream is the state that a decode engine holds for one attempt.
type stream struct {
	id       wire.Stream
	kv       wire.KV
	phase    string
	priority int
	pieces   int
	// total is the length of the answer in tokens, of which generated are computed.
	total     int
	reason    string
	generated int
	freed     bool
	// connID is the number of the latest decode call, the only one that is served.
	connID   int
	attached bool
	// wake signals new tokens or the end of the stream to the served connection.
	wake chan struct{}
	// resumeTimer frees the stream if it is not resumed.
	resumeTimer *time.Timer
}

func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// freeStream releases everything that a stream holds. The caller must hold mu.
func (e *Engine) freeStream(s *stream) {
	if s.freed {
		return
	}
	s.freed = true
	s.stopResumeTimer()
	delete(e.streams, keyOf(s.id))
	e.releasePieces(s.pieces)
	s.notify()
}

func (s *stream) stopResumeTimer() {
	if s.resumeTimer != nil {
		s.resumeTimer.Stop()
	}
}

// detach keeps a stream without a connection for ResumeTTL. The caller must hold mu.
func (e *Engine) detach(s *stream) {
	s.attached = false
	s.stopResumeTimer()
	connID := s.connID
	s.resumeTimer = time.AfterFunc(e.cfg.ResumeTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !s.attached && s.connID == connID && !s.freed {
			e.stats.OrphansFreed++
			e.freeStream(s)
		}
	})
}

// decodeLoop generates one token for every attached stream in each step, which imitates
// the externally visible behaviour of continuous batching.
func (e *Engine) decodeLoop(ctx context.Context) {
	defer close(e.stopped)
	for {
		if !e.decodeStep() {
			select {
			case <-e.wakeDecode:
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, e.faults.slowed(e.cfg.TokenTime)) {
			return
		}
	}
}

// decodeStep generates one token for each stream that is decoding, and reports whether
// there are any. Streams with a lower priority number get memory first; a stream that
// gets none stalls until memory is released.
func (e *Engine) decodeStep() bool {
	if e.faults.current().Freeze {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch []*stream
	for _, s := range e.streams {
		if s.attached && s.generated < s.total {
			batch = append(batch, s)
		}
	}
	sort.Slice(batch, func(i, j int) bool { return batch[i].priority < batch[j].priority })
	for _, s := range batch {
		need := e.piecesFor(s.kv.Tokens-s.kv.Generated+s.generated+1) - s.pieces
		if need > 0 && !e.reservePieces(need) {
			e.stats.Stalls++
			continue
		}
		s.pieces += max(0, need)
		s.generated++
		e.stats.DecodedTokens++
		s.notify()
	}
	return len(batch) > 0
}

func (e *Engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	var req wire.DecodeRequest
	if !readJSON(w, r, &req) {
		return
	}
	s, connID := e.attach(w, req)
	if s == nil {
		return
	}
	if e.crashOnText(s.kv.Sample) {
		return
	}
	w.Header().Set("Content-Type", wire.FramesContentType)
	e.sendFrames(r.Context(), w, req, s, connID)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connID == connID && !s.freed {
		e.detach(s)
	}
}

// attach makes the current call the one that receives the stream.
func (e *Engine) attach(w http.ResponseWriter, req wire.DecodeRequest) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[keyOf(req.Stream)]
	if !ok || s.phase == phaseImporting {
		writeError(w, http.StatusNotFound, wire.CodeUnknownStream, "the engine holds no KV cache for this attempt")
		return nil, 0
	}
	if req.ResumeFrom < 0 || req.ResumeFrom > s.generated {
		writeError(w, http.StatusConflict, wire.CodeInvalid, "resume_from is beyond the generated tokens")
		return nil, 0
	}
	stats := e.requestStats(req.Stream)
	if s.phase == phaseDecoding {
		stats.Resumes++
	} else {
		stats.Decodes++
		s.total, s.reason = answerLength(s.kv.PromptHash, req.MaxTokens)
	}
	s.id = req.Stream
	s.priority = req.Priority
	s.phase = phaseDecoding
	s.attached = true
	s.stopResumeTimer()
	s.connID++
	// Wakes up the previously served connection, which then ends.
	s.notify()
	select {
	case e.wakeDecode <- struct{}{}:
	default:
	}
	return s, s.connID
}

// sendFrames writes frames from the resume point until the terminator is written, the
// connection ends, the stream is cancelled or another connection takes over.
func (e *Engine) sendFrames(ctx context.Context, w http.ResponseWriter, req wire.DecodeRequest, s *stream, connID int) {
	frames := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	sent := req.ResumeFrom
	for {
		generated, serving := e.progress(s, connID)
		if !serving {
			return
		}
		for ; sent < generated; sent++ {
			if limit := e.faults.current().TruncateAfter; limit > 0 && sent-req.ResumeFrom >= limit {
				return
			}
			frame := wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: sent, Token: tokenAt(s.kv.PromptHash, sent)}
			if frames.Encode(frame) != nil {
				return
			}
		}
		if sent == s.total {
			_ = frames.Encode(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: sent, Done: true, FinishReason: s.reason})
			e.complete(s)
			return
		}
		_ = flush.Flush()
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) progress(s *stream, connID int) (generated int, serving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connID != connID {
		// The wake-up may have been intended for the connection that took over.
		s.notify()
	}
	return s.generated, s.connID == connID && !s.freed
}

func (e *Engine) complete(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestStats(s.id).Completed++
	e.freeStream(s)
}
