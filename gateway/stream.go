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

// Figures of streams.
const (
	// streamBuffer is the size of a stream's read buffer in bytes; events have some
	// hundred.
	streamBuffer = 4 << 10
	// writePatience is how long a caller may take nothing of its answer before its
	// connection is closed; its engine memory is needed by others.
	writePatience = 5 * time.Second
	// maxEvent bounds an event that is held back until it is whole, in bytes.
	maxEvent = 256 << 10
)

// stream hands the answer to a model request on. For routes whose streams may be
// resumed it holds back an event until it is whole, so that another engine can go on
// after the last one.
type stream struct {
	gateway  *Gateway
	admitted *admitted
	w        http.ResponseWriter
	// started tells that the caller has got a status.
	started bool
	status  int
	// lastID is the id of the last event handed on.
	lastID string
	// partial is the event that is not yet whole.
	partial []byte
	// events counts the events handed on; progress is told of each more, if set.
	events   int
	progress func(events int)
	// newline tells that the last byte ended a line.
	newline bool
}

// count counts the events that end in data.
func (s *stream) count(data []byte) {
	before := s.events
	for _, b := range data {
		ends := b == '\n'
		if ends && s.newline {
			s.events++
			ends = false
		}
		s.newline = ends
	}
	if s.events > before && s.progress != nil {
		s.progress(s.events)
	}
}

// resumable reports whether another engine may go on with what the caller has got.
func (s *stream) resumable() bool {
	return s.admitted.route.Resumable && s.status == http.StatusOK && s.lastID != ""
}

// copy hands an answer on until its end. The verdict tells of an answer that broke
// off.
func (s *stream) copy(answer *Answer) *verdict.Verdict {
	defer func() { _ = answer.Body.Close() }()
	if !s.started && answer.Status != http.StatusOK {
		return s.copyFailure(answer)
	}
	if s.started && answer.Status != http.StatusOK {
		return verdict.Fail(verdict.HasRun, verdict.ReasonUpstreamRefused, nil, "the engine that was to go on answered %d", answer.Status)
	}
	s.begin(answer)
	s.partial = s.partial[:0]
	buffer := make([]byte, streamBuffer)
	for {
		n, err := answer.Body.Read(buffer)
		if n > 0 {
			s.count(buffer[:n])
			if failed := s.write(buffer[:n]); failed != nil {
				return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, failed, "the caller left")
			}
		}
		if err == io.EOF {
			return s.end()
		}
		if err != nil {
			return verdict.Fail(verdict.HasRun, verdict.ReasonTruncated, err, "the engine's stream broke off")
		}
	}
}

// copyFailure hands an engine's failure on whole.
func (s *stream) copyFailure(answer *Answer) *verdict.Verdict {
	response, err := keep(answer)
	if err != nil {
		return verdict.Fail(verdict.MayHaveRun, verdict.ReasonTruncated, err, "the engine's answer ended early")
	}
	s.started, s.status = true, response.status
	s.gateway.deliver(s.w, s.admitted, response)
	return nil
}

// begin sends the status and the headers of the first engine.
func (s *stream) begin(answer *Answer) {
	if s.started {
		return
	}
	s.started, s.status = true, answer.Status
	s.gateway.Metrics.Took("first_byte", s.admitted.service.Name, time.Since(s.admitted.call.Arrived))
	copyHeader(s.w.Header(), answer)
	if answer.Length >= 0 && !s.admitted.route.Resumable {
		s.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	s.w.WriteHeader(answer.Status)
}

var eventEnd = []byte("\n\n")

// write hands bytes on at once, or whole events where the stream may be resumed.
func (s *stream) write(data []byte) error {
	if !s.admitted.route.Resumable {
		return s.flush(data)
	}
	s.partial = append(s.partial, data...)
	at := bytes.LastIndex(s.partial, eventEnd)
	if at < 0 {
		if len(s.partial) > maxEvent {
			return errors.New("event too large")
		}
		return nil
	}
	whole := s.partial[:at+len(eventEnd)]
	if err := s.flush(whole); err != nil {
		return err
	}
	s.note(whole)
	s.partial = append(s.partial[:0], s.partial[at+len(eventEnd):]...)
	return nil
}

// note remembers the id of the last event that was handed on.
func (s *stream) note(events []byte) {
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

// end hands on what follows the last whole event, as the stream is complete.
func (s *stream) end() *verdict.Verdict {
	if len(s.partial) == 0 {
		return nil
	}
	rest := s.partial
	s.partial = nil
	if err := s.flush(rest); err != nil {
		return verdict.Fail(verdict.HasRun, verdict.ReasonCancelled, err, "the caller left")
	}
	return nil
}

// release takes the stream's write deadline off the connection. The server keeps the
// connection for the caller's next request, whose answer could no longer be written
// once the deadline has passed: the caller would see the connection closed.
func (s *stream) release() {
	err := http.NewResponseController(s.w).SetWriteDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		s.gateway.log.Debug("write deadline not taken off", zap.String("request", s.admitted.call.ID), zap.Error(err))
	}
}

func (s *stream) flush(data []byte) error {
	control := http.NewResponseController(s.w)
	if err := control.SetWriteDeadline(time.Now().Add(writePatience)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return control.Flush()
}
