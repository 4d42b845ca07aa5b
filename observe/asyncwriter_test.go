package observe

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stuck blocks each write until it is let go.
type stuck struct {
	go_ chan struct{}
	out bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.go_
	return s.out.Write(p)
}

// Nobody reads standard output. A logger that waits for it stops every request at its
// next line; what does not fit is dropped and counted.
func TestLoggingDoesNotWaitForItsReader(t *testing.T) {
	s := &stuck{go_: make(chan struct{})}
	w := NewAsyncWriter(s)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 2000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	close(s.go_)
	for w.held() > 0 {
	}
	_, _ = w.Write([]byte("last\n"))
	w.Close()
	assert.Assert(t, strings.Contains(s.out.String(), "log lines dropped"))
	assert.Assert(t, strings.HasSuffix(s.out.String(), "last\n"))
	_, err := w.Write(line)
	assert.NilError(t, err)
}

// held is how many bytes wait to be written.
func (w *AsyncWriter) held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}
