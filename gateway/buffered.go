package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
)

// maxBufferedAnswer is the number of bytes of an answer that are buffered before any are forwarded. An
// answer that is cut off within them can still be replaced by an error response or retried.
const maxBufferedAnswer = 256 << 10

// minBufferedAnswer is the number of bytes of each answer that are buffered whatever the memory. Most answers are smaller.
const minBufferedAnswer = 16 << 10

// bufferedAnswer is an answer that was read completely or up to maxBufferedAnswer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// rest is the unread remainder of an answer larger than maxBufferedAnswer.
	rest *answerRest
	// length is the content length stated by the upstream, or -1.
	length int64
	// endStated is set if the upstream stated where the body ends.
	endStated bool
	// memory accounts for the bytes of body that exceed minBufferedAnswer.
	memory *answerMemory
}

// discard ends an answer that is not forwarded. b may be nil.
func (b *bufferedAnswer) discard() {
	if b == nil {
		return
	}
	b.releaseMemory()
	if b.rest != nil {
		_ = b.rest.Close()
	}
}

// releaseMemory returns the memory of the body. The body must not be used afterwards.
func (b *bufferedAnswer) releaseMemory() {
	if over := len(b.body) - minBufferedAnswer; over > 0 && b.memory.limit > 0 {
		b.memory.release(over)
	}
	b.body = nil
}

// answerRest is the part of an answer that is read while it is forwarded. The upstream is at work on it
// until Close.
type answerRest struct {
	io.ReadCloser
	whole bool
	err   error
	// end, if set, is called by Close. whole is set if the body was read to its end; err is the error that
	// ended it early.
	end func(whole bool, err error)
}

// Read implements io.Reader.
func (r *answerRest) Read(to []byte) (int, error) {
	n, err := r.ReadCloser.Read(to)
	if err == io.EOF {
		r.whole = true
	} else if err != nil {
		r.err = err
	}
	return n, err
}

// Close ends the answer. It must be called once.
func (r *answerRest) Close() error {
	err := r.ReadCloser.Close()
	if r.end != nil {
		r.end(r.whole, r.err)
	}
	return err
}

// bufferAnswer reads an answer up to maxBufferedAnswer bytes, or fewer if answers that are held for slow callers occupy the
// memory.
func bufferAnswer(answer *Answer, memory *answerMemory) (*bufferedAnswer, error) {
	buffered := &bufferedAnswer{status: answer.Status, header: answer.Header, length: answer.Length, endStated: answer.EndStated, memory: memory}
	var buffer bytes.Buffer
	for allowed, first := minBufferedAnswer, true; allowed > 0; allowed, first = memory.acquireChunk(buffer.Len()), false {
		n, err := io.CopyN(&buffer, answer.Body, int64(allowed))
		if !first && memory.limit > 0 {
			memory.release(allowed - int(n))
		}
		if err == io.EOF {
			buffered.body = buffer.Bytes()
			return buffered, answer.Body.Close()
		}
		if err != nil {
			buffered.body = buffer.Bytes()
			buffered.releaseMemory()
			_ = answer.Body.Close()
			return nil, err
		}
	}
	buffered.body = buffer.Bytes()
	buffered.rest = &answerRest{ReadCloser: answer.Body}
	return buffered, nil
}

// writeAnswer forwards an answer to the caller.
func (g *Gateway) writeAnswer(w http.ResponseWriter, a *admittedCall, buffered *bufferedAnswer) {
	copyHeader(w.Header(), &Answer{Header: buffered.header})
	switch {
	case buffered.rest == nil && buffered.endStated:
		w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	case buffered.rest == nil:
		// The upstream did not state where the body ends, so the caller is not told either: the body
		// ends with the connection. net/http then sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	case buffered.length >= 0:
		w.Header().Set("Content-Length", strconv.FormatInt(buffered.length, 10))
	}
	w.WriteHeader(buffered.status)
	_, err := w.Write(buffered.body)
	buffered.releaseMemory()
	if err == nil && buffered.rest != nil {
		_, err = io.Copy(w, buffered.rest)
	}
	if buffered.rest != nil {
		_ = buffered.rest.Close()
	}
	g.recordEnd(a, buffered.status, err)
	if err != nil {
		// Abort the connection so that a truncated answer does not look complete.
		panic(http.ErrAbortHandler)
	}
}

// recordEnd logs and counts a request that was answered by an upstream.
func (g *Gateway) recordEnd(a *admittedCall, status int, err error) {
	took := time.Since(a.call.Arrived)
	if err != nil && !errors.Is(err, context.Canceled) {
		g.Metrics.CountAnswerEnd(a.service.Name, observe.EndBrokenOff)
		g.log.Info("answer broken off", zap.String("request", a.call.ID), zap.String("upstream", a.upstream), zap.Int("status", status),
			zap.Bool("end_stated", a.endStated), zap.Duration("took", took), zap.Error(err))
		return
	}
	end := observe.EndNotStated
	if a.endStated {
		end = observe.EndStated
	}
	g.Metrics.CountAnswerEnd(a.service.Name, end)
	g.Metrics.RecordStageDuration("answer", a.service.Name, took)
	g.Metrics.CountAnswer(a.service.Name, status)
	g.log.Info("answered", zap.String("request", a.call.ID), zap.String("upstream", a.upstream), zap.Int("status", status),
		zap.Bool("end_stated", a.endStated), zap.Duration("took", took))
}
