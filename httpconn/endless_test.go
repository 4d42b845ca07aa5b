package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"

	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxUsefulBytes is more than any response needs before its body, with what is skipped.
const maxUsefulBytes = 2 << 20

// errEndless is the error of an endlessConn of which too much was read.
var errEndless = errors.New("bytes without an end were read on")

// endlessConn is a connection to an upstream that sends a beginning and then repeats a piece without end.
type endlessConn struct {
	net.Conn
	begin, piece string
	read         int
	closed       bool
}

func (c *endlessConn) Read(to []byte) (int, error) {
	n := copy(to, c.begin)
	c.begin = c.begin[n:]
	for n < len(to) {
		n += copy(to[n:], c.piece)
	}
	if c.read += n; c.read > maxUsefulBytes {
		return 0, errEndless
	}
	return n, nil
}

func (c *endlessConn) Write(data []byte) (int, error) { return len(data), nil }

func (c *endlessConn) Close() error {
	c.closed = true
	return nil
}

// endlessPool returns a pool whose only connection is c.
func endlessPool(c *endlessConn) *Pool {
	pool := NewPool()
	pool.dial = func(context.Context, string) (net.Conn, error) { return c, nil }
	return pool
}

// Guards against an instance whose memory is exhausted by an upstream that sends bytes without an end before or in place
// of a response.
func TestEndlessHeadIsBounded(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	const foreign = status + "X-Id: 2\r\n"
	for name, c := range map[string]*endlessConn{
		"status line":              {piece: "\x00"},
		"status":                   {begin: "HTTP/1.1 200 ", piece: "y"},
		"header name":              {begin: status, piece: "y"},
		"header value":             {begin: status + "X-Id: ", piece: "y"},
		"header lines":             {begin: status, piece: "X-Id: 1\r\n"},
		"continued value":          {begin: status + "X-Id: 1\r\n", piece: " y\r\n"},
		"interim responses":        {piece: "HTTP/1.1 102 Processing\r\n\r\n"},
		"header of interim":        {begin: "HTTP/1.1 103 Early Hints\r\nLink: ", piece: "y"},
		"responses without a body": {piece: foreign + "Content-Length: 0\r\n\r\n"},
		"body of another request":  {begin: foreign + "Content-Length: 9000000000000000000\r\n\r\n", piece: "y"},
		"chunks of another":        {begin: foreign + "Transfer-Encoding: chunked\r\n\r\n", piece: "1\r\ny\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := endlessPool(c).Do(ctx, "u", newGet("1"))
			assert.Assert(t, err != nil && !errors.Is(err, errEndless), "%v", err)
			assert.Assert(t, Sent(err))
			assert.Assert(t, c.closed)
			assert.Assert(t, c.read <= 2*(32<<10), "%d bytes were read", c.read)
			assert.Assert(t, len(err.Error()) < 1000, "the text of the error has %d bytes", len(err.Error()))
		})
	}
}

// Guards against an instance whose memory is exhausted by a chunked body in which a line or the trailer has no end.
func TestEndlessFramingOfBodyIsBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]*endlessConn{
		"size":            {begin: chunked, piece: "0"},
		"extension":       {begin: chunked + "1;x=", piece: "y"},
		"extensions":      {begin: chunked, piece: "1;" + strings.Repeat("x", 1000) + "\r\ny\r\n"},
		"trailer":         {begin: chunked + "0\r\nX-Id: ", piece: "y"},
		"trailer lines":   {begin: chunked + "0\r\n", piece: "X-Id: 1\r\n"},
		"end of a chunk":  {begin: chunked + "1\r\ny", piece: "y"},
		"after the chunk": {begin: chunked + "1\r\ny\r\n", piece: "y"},
	} {
		t.Run(name, func(t *testing.T) {
			resp, err := endlessPool(c).Do(t.Context(), "u", newGet("1"))
			assert.NilError(t, err)
			n, err := io.Copy(io.Discard, resp.Body)
			assert.Assert(t, err != nil && !errors.Is(err, errEndless), "%v after %d bytes", err, n)
			assert.NilError(t, resp.Body.Close())
			assert.Assert(t, c.closed)
		})
	}
}

// Guards against a response that is refused since a late response to an earlier request, however large, precedes it.
func TestLargeLateResponseIsSkipped(t *testing.T) {
	large := strings.Repeat("y", 200<<10)
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 2 {
			writeResponse(c, "1", large)
		}
		writeResponse(c, string('0'+rune(n)), "own")
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		resp, err := pool.Do(t.Context(), address, newGet(id))
		assert.NilError(t, err)
		assert.Equal(t, readBody(t, resp), "own")
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}
