package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// invalidStatusLines are responses to a request whose status line is none of HTTP/1.1.
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

// Guards against passing on a response whose status is none of HTTP/1.1.
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
