package observe

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.out.Write(p)
}

// Guards against requests that block in the logger because nobody reads standard output. Lines that
// do not fit in the buffer must be dropped and counted.
func TestLoggingDoesNotBlockOnReader(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	w := NewAsyncWriter(s)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 2000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	close(s.unblock)
	for w.bufferedBytes() > 0 {
	}
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	assert.Assert(t, strings.Contains(s.out.String(), "log lines dropped"))
	assert.Assert(t, strings.HasSuffix(s.out.String(), "last\n"))
	_, err := w.Write(line)
	assert.NilError(t, err)
}

// bufferedBytes returns how many bytes wait to be written.
func (w *AsyncWriter) bufferedBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}
