package observe

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Figures of an asynchronous writer.
const (
	// asyncBuffer bounds the log lines that wait to be written, in bytes: some two
	// thousand lines, a second of an instance that refuses everything.
	asyncBuffer = 512 << 10
	// asyncInterval is how long lines are gathered, as each write is a system call.
	asyncInterval = 100 * time.Millisecond
)

// AsyncWriter writes lines from a goroutine of its own and never blocks the one that
// logs. A reader that stops reading would otherwise stop every request at its next
// line. Lines beyond the buffer are dropped; how many is told in the next line that
// fits.
type AsyncWriter struct {
	to io.Writer

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to another one. Close ends it.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{to: to, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It takes whole lines.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > asyncBuffer {
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

// Sync implements zapcore.WriteSyncer; lines are written soon in any case.
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
		time.Sleep(asyncInterval)
	}
}

// Close writes what waits, for at most a second, and ends the writer.
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
	case <-time.After(time.Second):
	}
}
