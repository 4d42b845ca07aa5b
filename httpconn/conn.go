package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleUntil is when the connection must no longer be used, as told by the
	// upstream or by the pool's own limit.
	idleUntil time.Time
	idleSince time.Time
}

// readBuffer is the size of a connection's read buffer in bytes. Answers of plain
// services are about a kilobyte, events some hundred bytes; a larger buffer costs
// memory on each of hundreds of connections.
const readBuffer = 4096

// sound reports whether an idle connection can carry another request: nothing
// waits to be read on it. Bytes that wait are the end of the connection or a
// second answer to an earlier request, which would be taken for the answer to the
// next one.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && silent
}
