package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// writeTimeout bounds one write to a caller that does not read. Without it a
// stuck caller holds a decode slot for as long as its connection stays open.
const writeTimeout = 10 * time.Second

// eventWriter writes server-sent events. It sends the headers with the first
// event, so that a failure before it can still be an ordinary error response.
type eventWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	begun   bool
	// line is the buffer of one event, used again for the next.
	line []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *eventWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *eventWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// event sends one data line and flushes it.
func (w *eventWriter) event(data []byte) error {
	w.begin()
	if err := w.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	w.line = append(w.line[:0], "data: "...)
	w.line = append(w.line, data...)
	w.line = append(w.line, "\n\n"...)
	if _, err := w.Write(w.line); err != nil {
		return err
	}
	return w.control.Flush()
}

func (w *eventWriter) json(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.event(data)
}

// done sends the terminator. Its absence is how a caller notices that an answer
// was cut off.
func (w *eventWriter) done() error { return w.event([]byte("[DONE]")) }

// fail ends a begun answer with an error event and without the terminator.
func (w *eventWriter) fail(body errorBody) {
	_ = w.json(body) // a failed write means the caller is gone
}
