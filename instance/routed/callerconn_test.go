package routed

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that serves a request and counts as reading a head, because a read that began before has
// ended meanwhile. The deadlines of the handler had no effect then.
func TestReadThatEndsWhileServingKeepsThePhase(t *testing.T) {
	conns := newCallerConns()
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	c := &callerConn{Conn: ours, conns: conns}
	c.enter(idle)
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond) // The read has begun; if it has not, the test cannot fail.
	c.enter(serving)
	_, err := theirs.Write([]byte("G"))
	assert.NilError(t, err)
	assert.NilError(t, <-read)
	assert.Equal(t, c.phase, serving)
	assert.NilError(t, c.SetReadDeadline(time.Now()))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}
