package observe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Parameters of AsyncWriter.
const (
	// maxBufferedBytes limits the log lines that are buffered: about 2000 lines, the output of one
	// second of an instance that refuses all requests.
	maxBufferedBytes = 512 << 10
	// flushInterval is how long lines are batched, since each write is a system call.
	flushInterval = 100 * time.Millisecond
	// closeTimeout limits how long Close waits for the buffer to be written.
	closeTimeout = time.Second
)

// AsyncWriter writes lines from a separate goroutine, so that logging never blocks. Otherwise, a
// consumer of the log that stops reading would block each request at its next log line. Lines that
// do not fit in the buffer are dropped; their number is logged before the next line that fits.
type AsyncWriter struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to another writer. Close stops it.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call must pass complete lines.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxBufferedBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	if w.dropped > 0 {
		w.pending = fmt.Appendf(w.pending, "level=warn msg=\"log lines dropped\" count=%d\n", w.dropped)
		w.dropped = 0
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written within
// flushInterval.
func (w *AsyncWriter) Sync() error { return nil }

func (w *AsyncWriter) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.pending, w.closed
		w.pending = spare[:0]
		w.mu.Unlock()
		if _, err := w.to.Write(lines); err != nil {
			w.mu.Lock()
			w.dropped++
			w.mu.Unlock()
		}
		spare = lines
		if closed {
			return
		}
		time.Sleep(flushInterval)
	}
}

// Close writes the buffered lines, waiting at most closeTimeout, and stops the writer.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
