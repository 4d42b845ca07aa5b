package stand

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
)

// Phases of a stream in GET /v1/streams.
const (
	phasePrefilled = "prefilled"
	phaseImported  = "imported"
	phaseDecoding  = "decoding"
)

// stream is what a decode engine holds for one attempt.
type stream struct {
	id       wire.Stream
	kv       wire.KV
	phase    string
	priority int
	pieces   int
	// total is the answer's length; generated of it are computed.
	total     int
	reason    string
	generated int
	freed     bool
	// connection counts decode calls; the highest is the one that is served.
	connection int
	attached   bool
	// wake tells the served connection of new tokens or of the end.
	wake chan struct{}
	// orphan frees the stream when nobody resumes it.
	orphan *time.Timer
}

func (s *stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// free gives back everything a stream holds; the caller holds mu.
func (e *Engine) free(s *stream) {
	if s.freed {
		return
	}
	s.freed = true
	s.stopOrphan()
	delete(e.streams, keyOf(s.id))
	e.give(s.pieces)
	s.notify()
}

func (s *stream) stopOrphan() {
	if s.orphan != nil {
		s.orphan.Stop()
	}
}

// detach holds a stream for ResumeTTL without a connection; the caller holds mu.
func (e *Engine) detach(s *stream) {
	s.attached = false
	s.stopOrphan()
	held := s.connection
	s.orphan = time.AfterFunc(e.cfg.ResumeTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if !s.attached && s.connection == held && !s.freed {
			e.stats.OrphansFreed++
			e.free(s)
		}
	})
}

// decodeLoop advances every attached stream by a token in each step, which is
// what continuous batching looks like from outside.
func (e *Engine) decodeLoop(ctx context.Context) {
	defer close(e.stopped)
	for {
		if !e.step() {
			select {
			case <-e.work:
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, e.gate.slowed(e.cfg.TokenTime)) {
			return
		}
	}
}

// step reports whether any stream is still decoding. Streams of a lower priority
// number get memory first; one that finds none stalls until some is given back.
func (e *Engine) step() bool {
	if e.gate.current().Freeze {
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
		need := e.pieces(s.kv.Tokens-s.kv.Generated+s.generated+1) - s.pieces
		if need > 0 && !e.take(need) {
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
	s, mine := e.attach(w, req)
	if s == nil {
		return
	}
	if e.crashesOn(s.kv.Sample) {
		return
	}
	w.Header().Set("Content-Type", wire.FramesContentType)
	e.sendFrames(r.Context(), w, req, s, mine)
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connection == mine && !s.freed {
		e.detach(s)
	}
}

// attach makes this call the one that the stream is sent to.
func (e *Engine) attach(w http.ResponseWriter, req wire.DecodeRequest) (*stream, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[keyOf(req.Stream)]
	if !ok || s.phase == phaseImporting {
		writeError(w, http.StatusNotFound, wire.CodeUnknownStream, "no KV cache is held for this attempt")
		return nil, 0
	}
	if req.ResumeFrom < 0 || req.ResumeFrom > s.generated {
		writeError(w, http.StatusConflict, wire.CodeInvalid, "resume point lies ahead of the stream")
		return nil, 0
	}
	runs := e.runs(req.Stream)
	if s.phase == phaseDecoding {
		runs.Resumes++
	} else {
		runs.Decodes++
		s.total, s.reason = answerLength(s.kv.PromptHash, req.MaxTokens)
	}
	s.id = req.Stream
	s.priority = req.Priority
	s.phase = phaseDecoding
	s.attached = true
	s.stopOrphan()
	s.connection++
	// The connection served until now finds that it is no longer the one.
	s.notify()
	select {
	case e.work <- struct{}{}:
	default:
	}
	return s, s.connection
}

// sendFrames writes frames from the resume point on until the terminator, the
// end of the connection, a cancel or another connection.
func (e *Engine) sendFrames(ctx context.Context, w http.ResponseWriter, req wire.DecodeRequest, s *stream, mine int) {
	frames := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	sent := req.ResumeFrom
	for {
		generated, serving := e.progress(s, mine)
		if !serving {
			return
		}
		for ; sent < generated; sent++ {
			if limit := e.gate.current().TruncateAfter; limit > 0 && sent-req.ResumeFrom >= limit {
				return
			}
			frame := wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: sent, Token: tokenAt(s.kv.PromptHash, sent)}
			if frames.Encode(frame) != nil {
				return
			}
		}
		if sent == s.total {
			_ = frames.Encode(wire.Frame{RequestID: req.RequestID, Attempt: req.Attempt, Seq: sent, Done: true, FinishReason: s.reason})
			e.finish(s)
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

func (e *Engine) progress(s *stream, mine int) (generated int, serving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.connection != mine {
		// The wake-up may have been meant for the connection that took over.
		s.notify()
	}
	return s.generated, s.connection == mine && !s.freed
}

func (e *Engine) finish(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs(s.id).Completed++
	e.free(s)
}
