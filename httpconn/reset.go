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

// resetConn is a connection whose Read returns the error with which the connection failed. The system returns that error
// once, to the first call that meets it. If that is a Write, a Read would return io.EOF, as it does after an orderly close.
type resetConn struct {
	net.Conn
	// mu is held during a Write.
	mu     sync.Mutex
	failed error
}

// KeepReset returns a connection whose Read does not return io.EOF after a reset, whether a Read or a Write meets the reset.
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

// Read implements net.Conn. At the end of what can be read, it ends a Write that is blocked.
func (c *resetConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if err != io.EOF {
		return n, err
	}
	if !c.mu.TryLock() {
		// The Write that is in progress may have met the reset.
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

// endedInOrder reports whether a Write failed on a connection whose remote side has closed it in order before. The system
// returns EPIPE, and not ECONNRESET, if a reset follows the end of the remote side's bytes.
func endedInOrder(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}
