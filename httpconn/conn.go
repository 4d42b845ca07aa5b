package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// idleUntil is the time after which the idle connection must not be used, from
	// the upstream's Keep-Alive header or DefaultIdle.
	idleUntil time.Time
	idleSince time.Time
}

// readBuffer is the size of a connection's read buffer in bytes. Responses of plain
// services have about a kilobyte and events a few hundred bytes; a larger buffer
// costs memory on each of hundreds of connections.
const readBuffer = 4096

// reusable reports whether an idle connection can carry another request, which is the
// case if nothing can be read from it. Readable data is either the end of the
// connection or a second response to an earlier request, which would be taken for the
// response to the next one.
func (c *conn) reusable() bool {
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
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = err == unix.EAGAIN || err == unix.EINTR
		return true
	})
	return err == nil && noData
}
