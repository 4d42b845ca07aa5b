package httpconn

import (
	"bufio"
	"io"
	"math"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to an upstream. It carries one exchange at a time.
type conn struct {
	*resetConn
	address string
	reader  *bufio.Reader
	source  *source
	// idleUntil is the time after which the idle connection must not be used, from
	// the upstream's Keep-Alive header or DefaultIdle.
	idleUntil time.Time
	idleSince time.Time
}

// newConn returns the connection of the pool for an open one.
func newConn(raw net.Conn, address string) *conn {
	tracked := &resetConn{Conn: raw}
	from := &source{from: tracked, left: unlimited}
	return &conn{resetConn: tracked, address: address, source: from, reader: bufio.NewReaderSize(from, readBuffer)}
}

// unlimited is the allowance of a source that may read any number of bytes.
const unlimited = math.MaxInt64

// source reads from a connection and fails with errHeadTooLarge once its allowance is used up.
type source struct {
	from io.Reader
	left int64
	// recording is set while a head is read. head holds its bytes and those that were read with them.
	recording bool
	head      []byte
}

// record starts to record a head. buffered are the bytes of it that were read before.
func (s *source) record(buffered []byte) { s.recording, s.head = true, slices.Clone(buffered) }

// recorded ends the recording and returns the bytes of the head, without the last ones that follow it.
func (s *source) recorded(following int) []byte {
	head := s.head[:len(s.head)-following]
	s.recording, s.head = false, nil
	return head
}

// Read implements io.Reader.
func (s *source) Read(to []byte) (int, error) {
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := s.from.Read(to[:min(int64(len(to)), s.left)])
	if s.left != unlimited {
		s.left -= int64(n)
	}
	if s.recording {
		s.head = append(s.head, to[:n]...)
	}
	return n, err
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
