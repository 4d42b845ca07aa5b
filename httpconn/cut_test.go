package httpconn

import (
	"bufio"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that stops in the middle of its head and is passed on with an empty or short body, on a new
// and on a kept connection.
func TestHeadCutShortIsError(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc"
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
		"in chunks":        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a body":   "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 3\n\n",
		"after an interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
		"folded line":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Other: a\r\n b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for after := range len(head) {
				for kept := range 2 {
					for _, reset := range []bool{false, true} {
						address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
							if kept == 1 && n == 1 {
								_, _ = io.WriteString(c, whole)
								return
							}
							_, _ = io.WriteString(c, head[:after])
							if reset {
								_ = c.(*net.TCPConn).SetLinger(0)
							}
							_ = c.Close()
						})
						pool := NewPool()
						if kept == 1 {
							resp, err := pool.Do(t.Context(), address, newGet("1"))
							assert.NilError(t, err)
							_, err = io.ReadAll(resp.Body)
							assert.NilError(t, err)
						}
						resp, err := pool.Do(t.Context(), address, newGet("1"))
						if err == nil {
							body, err := io.ReadAll(resp.Body)
							t.Fatalf("%q: status %d, body %q, %v", head[:after], resp.Status, body, err)
						}
					}
				}
			}
		})
	}
}
