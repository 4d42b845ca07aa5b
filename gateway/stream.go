package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/eventstream"
	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of streams.
const (
	// streamBufferBytes is the size of a stream's read buffer; events have a few hundred bytes.
	streamBufferBytes = 4 << 10
	// writeTimeout is how long a caller may block writes of its answer before its connection is
	// closed. The engine memory it holds is needed by others.
	writeTimeout = 5 * time.Second
	// maxEventBytes limits the size of an event. On resumable routes an event is buffered until it is complete.
	maxEventBytes = 64 << 10
)

// stream forwards the answer to a model request. On resumable routes it forwards only complete
// events, so that another engine can continue after the last one.
type stream struct {
	gateway  *Gateway
	admitted *admittedCall
	w        http.ResponseWriter
	// started is set once the status has been sent to the caller.
	started bool
	status  int
	// lastID is the ID of the last forwarded event.
	lastID string
	// answer is the engine's answer that is being forwarded, and scanner its events so far.
	answer  *Answer
	scanner eventstream.Scanner
	// partial holds the bytes of an incomplete event on a resumable route. unended counts the bytes since the
	// last end of an event.
	partial []byte
	unended int
	// events is the number of events of all engines' answers; onEvents, if set, is called when it grows.
	events   int
	onEvents func(events int)
	// interrupt ends a blocked read of the answer.
	interrupt func()
	// buffer reads the answer ahead once the caller has blocked a write. It is nil before.
	buffer *answerBuffer
}

// scan follows the events in data. It returns the number of bytes up to the end of the last one.
func (s *stream) scan(data []byte) int {
	before := s.scanner.Events()
	end := s.scanner.Scan(data)
	if end > 0 {
		s.unended = 0
	}
	s.unended += len(data) - end
	ended := s.scanner.Events() - before
	s.events += ended
	if ended > 0 && s.onEvents != nil {
		s.onEvents(s.events)
	}
	return end
}

// resumable reports whether another engine can continue the stream.
func (s *stream) resumable() bool {
	return s.admitted.route.Resumable && s.status == http.StatusOK && s.lastID != ""
}

// copy forwards an answer to its end. It returns a verdict if the answer is cut off.
func (s *stream) copy(answer *Answer) *verdict.Verdict {
	defer func() { _ = answer.Body.Close() }()
	if !s.started && answer.Status != http.StatusOK {
		return s.copyErrorAnswer(answer)
	}
	if s.started && answer.Status != http.StatusOK {
		return verdict.Fail(verdict.HasRun, verdict.ReasonUpstreamRefused, nil, "the engine that was to resume the stream answered %d", answer.Status)
	}
	s.answer, s.scanner, s.partial, s.unended, s.buffer = answer, eventstream.Scanner{}, s.partial[:0], 0, nil
	eventStream := s.isEventStream()
	defer func() {
		if s.buffer != nil {
			s.buffer.close(s.interrupt)
		}
	}()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := s.read(buffer)
		if n > 0 {
			end := s.scan(buffer[:n])
			if s.unended > maxEventBytes && (eventStream || s.admitted.route.Resumable) {
				return verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, errEventTooLarge, "the engine's stream has an event of more than %d bytes", maxEventBytes)
			}
			if failed := s.write(buffer[:n], end); failed != nil {
				return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, failed, "the caller disconnected")
			}
		}
		if err == io.EOF {
			return s.finish()
		}
		if err != nil && s.buffer != nil && s.buffer.wasCutOff() {
			return verdict.Fail(verdict.HasRun, verdict.ReasonAnswerUnread, err, "the engine cut off the stream because the caller did not read it")
		}
		if err != nil {
			return verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, err, "the engine's stream was cut off")
		}
	}
}

// read reads from the answer, or from what was read ahead of the caller.
func (s *stream) read(to []byte) (int, error) {
	if s.buffer != nil {
		return s.buffer.Read(to)
	}
	return s.answer.Body.Read(to)
}

// watchWrite starts to read the answer ahead if a write blocks for slowWriteDelay. The returned function ends the watch;
// it must be called after the write.
func (s *stream) watchWrite() (end func()) {
	memory := s.gateway.answerMemory
	if s.buffer != nil || s.interrupt == nil || memory.limit == 0 {
		return func() {}
	}
	started := make(chan *answerBuffer, 1)
	body := s.answer.Body
	timer := time.AfterFunc(slowWriteDelay, func() {
		buffer := newAnswerBuffer(body, memory)
		go buffer.run()
		started <- buffer
	})
	return func() {
		if timer.Stop() {
			return
		}
		s.buffer = <-started
		s.gateway.Metrics.CountSlowCaller(s.admitted.service.Name)
		s.gateway.log.Info("caller reads slowly; reading its answer ahead", zap.String("request", s.admitted.call.ID), zap.String("upstream", s.admitted.upstream))
	}
}

// errEventTooLarge is the error of a stream with an event of more than maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// errInsideEvent is the error of a stream that ended inside an event or before the first one.
var errInsideEvent = errors.New("the stream ended inside an event")

// finish ends an answer whose body has ended. A connection that an engine closes within a stream without a
// length or chunks looks like the end of the stream, but a stream ends after an event.
func (s *stream) finish() *verdict.Verdict {
	if s.isEventStream() && (s.scanner.InEvent() || !s.answer.EndStated && s.scanner.Events() == 0) {
		if s.buffer != nil && s.buffer.wasCutOff() {
			return verdict.Fail(verdict.HasRun, verdict.ReasonAnswerUnread, errInsideEvent, "the engine cut off the stream because the caller did not read it")
		}
		return verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, errInsideEvent, "the engine's stream was cut off")
	}
	rest := s.partial
	s.partial = nil
	if s.started && len(rest) == 0 {
		return nil
	}
	if err := s.flush(rest); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller disconnected")
	}
	return nil
}

// isEventStream reports whether the answer consists of events that can be read here. Without a type, that is
// assumed if its end is not stated.
func (s *stream) isEventStream() bool {
	if encoding := s.answer.Header.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(s.answer.Header.Get("Content-Type"))
	if err != nil {
		return !s.answer.EndStated
	}
	return mediaType == "text/event-stream"
}

// copyErrorAnswer forwards an engine's error response as a whole.
func (s *stream) copyErrorAnswer(answer *Answer) *verdict.Verdict {
	buffered, err := bufferAnswer(answer, s.gateway.answerMemory)
	if err != nil {
		return truncated(err)
	}
	s.started, s.status = true, buffered.status
	s.gateway.writeAnswer(s.w, s.admitted, buffered)
	return nil
}

// writeHeader sends the status and headers of the first engine's answer. They are sent with the first
// bytes of the body: until then, another engine's answer can take the place of one that is broken off.
func (s *stream) writeHeader() {
	if s.started {
		return
	}
	s.started, s.status = true, s.answer.Status
	s.gateway.Metrics.RecordStageDuration("first_byte", s.admitted.service.Name, time.Since(s.admitted.call.Arrived))
	copyHeader(s.w.Header(), s.answer)
	if s.answer.Length >= 0 && !s.admitted.route.Resumable && !s.isEventStream() {
		s.w.Header().Set("Content-Length", strconv.FormatInt(s.answer.Length, 10))
	}
	s.w.WriteHeader(s.answer.Status)
}

// write forwards data immediately, or by complete events on resumable routes. end is the number of bytes up to the
// end of the last event in data.
func (s *stream) write(data []byte, end int) error {
	if !s.admitted.route.Resumable {
		return s.flush(data)
	}
	if end == 0 {
		s.partial = append(s.partial, data...)
		return nil
	}
	complete := append(s.partial, data[:end]...)
	if err := s.flush(complete); err != nil {
		return err
	}
	if id, ok := eventstream.LastID(complete); ok {
		s.lastID = id
	}
	s.partial = append(s.partial[:0], data[end:]...)
	return nil
}

// clearWriteDeadline removes the write deadline from the connection. The server reuses the
// connection for the caller's next request; after the deadline, that request's answer could not be
// written and the caller would see the connection closed.
func (s *stream) clearWriteDeadline() {
	err := http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.gateway.log.Debug("cannot clear write deadline", zap.String("request", s.admitted.call.ID), zap.Error(err))
	}
}

// flush sends data to the caller, after the status and headers.
func (s *stream) flush(data []byte) error {
	s.writeHeader()
	control := http.NewResponseController(s.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	defer s.watchWrite()()
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}
