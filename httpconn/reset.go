package httpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// resetConn is a connection whose Read reports a reset. The operating system reports the error of a connection only once,
// to the first call after it. If that is a Write, a later Read returns io.EOF as after an orderly close.
type resetConn struct {
	net.Conn
	// mu is held during a Write.
	mu     sync.Mutex
	failed error
}

// KeepReset wraps a connection so that Read returns an error other than io.EOF after a reset, even if a Write has already
// returned the error.
func KeepReset(c net.Conn) net.Conn { return &resetConn{Conn: c} }

// Write implements net.Conn.
func (c *resetConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn. Before it returns io.EOF, it interrupts a Write that is in progress.
func (c *resetConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if err != io.EOF {
		return n, err
	}
	if !c.mu.TryLock() {
		// The Write may already have been given the error, but not have returned.
		if err := c.SetWriteDeadline(time.Unix(1, 0)); err != nil {
			return n, err
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	if c.failed == nil || endedInOrder(c.failed) {
		return n, io.EOF
	}
	return n, c.failed
}

// endedInOrder reports whether a Write failed although the remote side had closed the connection in order. If a reset
// follows an orderly close, the error is EPIPE and not ECONNRESET.
func endedInOrder(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}
