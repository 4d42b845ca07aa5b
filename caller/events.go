package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// writeTimeout limits a single write to a caller that does not read. Without it, such a caller
// occupies a decode slot as long as its connection stays open.
const writeTimeout = 10 * time.Second

// eventWriter writes server-sent events. It sends the headers with the first event, so that an
// earlier failure can still be reported as a regular error response.
type eventWriter struct {
	http.ResponseWriter
	control *http.ResponseController

	headersSent bool
	// buffer holds the encoded event and is reused for the next one.
	buffer []byte
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// Unwrap lets http.ResponseController reach the connection.
func (w *eventWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *eventWriter) sendHeaders() {
	if w.headersSent {
		return
	}
	w.headersSent = true
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// writeEvent writes one event and flushes it.
func (w *eventWriter) writeEvent(data []byte) error {
	w.sendHeaders()
	if err := w.control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	w.buffer = append(w.buffer[:0], "data: "...)
	w.buffer = append(w.buffer, data...)
	w.buffer = append(w.buffer, "\n\n"...)
	if _, err := w.Write(w.buffer); err != nil {
		return err
	}
	return w.control.Flush()
}

func (w *eventWriter) writeJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.writeEvent(data)
}

// writeDone writes the terminator. A caller recognises a truncated response by its absence.
func (w *eventWriter) writeDone() error { return w.writeEvent([]byte("[DONE]")) }

// writeError ends a started stream with an error event and without the terminator.
func (w *eventWriter) writeError(body errorBody) {
	_ = w.writeJSON(body) // a write error means that the caller disconnected
}
