package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatusLines are responses with a status line that is not valid in HTTP/1.1.
var invalidStatusLines = map[string]string{
	"status 000":         "HTTP/1.1 000 \r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"status below 100":   "HTTP/1.1 099 x\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"status with a sign": "HTTP/1.1 +20 x\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"status above 599":   "HTTP/1.1 600 x\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"status of 4 digits": "HTTP/1.1 2000 x\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"no status":          "HTTP/1.1\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"another protocol":   "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
	"another version":    "HTTP/2.0 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
}

// Guards against passing on a response with an invalid status.
func TestInvalidStatusIsError(t *testing.T) { checkMalformed(t, invalidStatusLines) }

// checkMalformed checks that responses with the given heads, and a body of three bytes, are errors.
func checkMalformed(t *testing.T, heads map[string]string) {
	t.Helper()
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) {
				_, _ = io.WriteString(c, head+"abc")
				_ = c.Close()
			})
			resp, err := NewPool().Do(t.Context(), address, newGet("1"))
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				t.Fatalf("status %d, header %q, body %q, %v", resp.Status, resp.Header, body, err)
			}
			assert.Assert(t, Sent(err))
			var malformed *MalformedError
			assert.Assert(t, errors.As(err, &malformed), "%v", err)
			assert.Equal(t, malformed.Fault, FaultNoResponse)
		})
	}
}

// malformedHeaders are headers, of a response with a body of three bytes, that are not valid in HTTP/1.1.
var malformedHeaders = map[string]string{
	"space in a name":          "X Odd: 1\r\nContent-Length: 3\r\n",
	"space before a colon":     "Content-Length : 3\r\n",
	"space before a name":      "X-Other: 1\r\n X-Odd: 1\r\nContent-Length: 3\r\n",
	"tab before a name":        "X-Other: 1\r\n\tX-Odd: 1\r\nContent-Length: 3\r\n",
	"space before a length":    "X-Other: 1\n Content-Length: 3\r\n",
	"space as a name":          "X-Other: 1\r\n : 1\r\nContent-Length: 3\r\n",
	"line of a space":          "Content-Length: 3\r\n \r\n",
	"tab before a colon":       "Content-Length\t: 3\r\n",
	"control byte in a name":   "X-\x01Odd: 1\r\nContent-Length: 3\r\n",
	"NUL in a name":            "X-Odd\x00: 1\r\nContent-Length: 3\r\n",
	"DEL in a name":            "X-Odd\x7f: 1\r\nContent-Length: 3\r\n",
	"CR in a name":             "X-\rOdd: 1\r\nContent-Length: 3\r\n",
	"byte above 127 in a name": "X-\xe9Odd: 1\r\nContent-Length: 3\r\n",
	"empty name":               ": 1\r\nContent-Length: 3\r\n",
	"no colon":                 "X-Odd\r\nContent-Length: 3\r\n",
	"control byte in a value":  "X-Odd: \x01\r\nContent-Length: 3\r\n",
	"CR in a value":            "X-Odd: a\rX-Other: b\r\nContent-Length: 3\r\n",
	"large head":               "X-Other: " + strings.Repeat("y", 3*readBuffer) + "\r\n X-Odd: 1\r\nContent-Length: 3\r\n",
}

// Guards against passing on a response with a malformed header, which may hide the length of its body.
func TestMalformedHeaderIsError(t *testing.T) {
	heads := make(map[string]string)
	for name, fields := range malformedHeaders {
		heads[name] = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + fields + "\r\n"
		heads[name+", interim"] = "HTTP/1.1 103 Early Hints\r\n" + fields + "\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n"
	}
	checkMalformed(t, heads)
}

// Guards against passing on chunk sizes as part of the body: HTTP/1.0 has no chunks, and the parser drops the header.
func TestChunksInHTTP10AreError(t *testing.T) {
	checkMalformed(t, map[string]string{
		"without a length": "HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"with a length":    "HTTP/1.0 200 OK\r\nX-Id: 1\r\ntransfer-encoding:chunked\r\nContent-Length: 3\r\n\r\n",
	})
}

// Guards against rejecting a valid response because of its body or of other responses on the connection.
func TestSpacesAfterHeadsAreAllowed(t *testing.T) {
	const body = "\n a\r\n\tb : c\n"
	for _, chunked := range []bool{false, true} {
		address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) {
			head := "HTTP/1.1 103 Early Hints\r\nLink: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Empty:\r\nX-Spaces: \t a b \t\r\n"
			if chunked {
				_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body+"\r\n0\r\n\r\n")
				return
			}
			_, _ = io.WriteString(c, head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		})
		pool := NewPool()
		for range 3 {
			resp, err := pool.Do(t.Context(), address, newGet("1"))
			assert.NilError(t, err)
			assert.Equal(t, readBody(t, resp), body)
		}
		assert.Equal(t, pool.Opened(), uint64(1))
	}
}
