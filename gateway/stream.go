package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/verdict"
)

// Limits and timings of streams.
const (
	// streamBufferBytes is the size of a stream's read buffer; events have a few hundred bytes.
	streamBufferBytes = 4 << 10
	// writeTimeout is how long a caller may block writes of its answer before its connection is
	// closed. The engine memory it holds is needed by others.
	writeTimeout = 5 * time.Second
	// maxEventBytes limits the size of an event that is buffered until it is complete.
	maxEventBytes = 256 << 10
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
	// partial holds the bytes of an incomplete event.
	partial []byte
	// events is the number of forwarded events; onEvents, if set, is called when it grows.
	events   int
	onEvents func(events int)
	// afterNewline is set if the last byte was a newline.
	afterNewline bool
}

// count counts the events that end within data.
func (s *stream) count(data []byte) {
	before := s.events
	for _, b := range data {
		ends := b == '\n'
		if ends && s.afterNewline {
			s.events++
			ends = false
		}
		s.afterNewline = ends
	}
	if s.events > before && s.onEvents != nil {
		s.onEvents(s.events)
	}
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
	s.writeHeader(answer)
	s.partial = s.partial[:0]
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			s.count(buffer[:n])
			if failed := s.write(buffer[:n]); failed != nil {
				return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, failed, "the caller disconnected")
			}
		}
		if err == io.EOF {
			return s.flushRest()
		}
		if err != nil {
			return verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, err, "the engine's stream was cut off")
		}
	}
}

// copyErrorAnswer forwards an engine's error response as a whole.
func (s *stream) copyErrorAnswer(answer *Answer) *verdict.Verdict {
	buffered, err := bufferAnswer(answer)
	if err != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the engine's answer was truncated")
	}
	s.started, s.status = true, buffered.status
	s.gateway.writeAnswer(s.w, s.admitted, buffered)
	return nil
}

// writeHeader sends the status and headers of the first engine's answer.
func (s *stream) writeHeader(answer *Answer) {
	if s.started {
		return
	}
	s.started, s.status = true, answer.Status
	s.gateway.Metrics.RecordStageDuration("first_byte", s.admitted.service.Name, time.Since(s.admitted.call.Arrived))
	copyHeader(s.w.Header(), answer)
	if answer.Length >= 0 && !s.admitted.route.Resumable {
		s.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	s.w.WriteHeader(answer.Status)
}

var eventEnd = []byte("\n\n")

// write forwards data immediately, or by complete events on resumable routes.
func (s *stream) write(data []byte) error {
	if !s.admitted.route.Resumable {
		return s.flush(data)
	}
	s.partial = append(s.partial, data...)
	at := bytes.LastIndex(s.partial, eventEnd)
	if at < 0 {
		if len(s.partial) > maxEventBytes {
			return errors.New("event too large")
		}
		return nil
	}
	complete := s.partial[:at+len(eventEnd)]
	if err := s.flush(complete); err != nil {
		return err
	}
	s.rememberLastID(complete)
	s.partial = append(s.partial[:0], s.partial[at+len(eventEnd):]...)
	return nil
}

// rememberLastID stores the ID of the last event in events.
func (s *stream) rememberLastID(events []byte) {
	at := bytes.LastIndex(events, []byte("id:"))
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], []byte("id:"))
	}
	if at < 0 {
		return
	}
	line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
	s.lastID = string(bytes.TrimSpace(line))
}

// flushRest forwards the bytes after the last complete event when the stream has ended.
func (s *stream) flushRest() *verdict.Verdict {
	if len(s.partial) == 0 {
		return nil
	}
	rest := s.partial
	s.partial = nil
	if err := s.flush(rest); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller disconnected")
	}
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

func (s *stream) flush(data []byte) error {
	control := http.NewResponseController(s.w)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}
