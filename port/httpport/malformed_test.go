package httpport_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/verdict"
)

// Guards against an answer with a malformed head that is taken for the answer of a service.
func TestMalformedHeadIsFailure(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":             "HTTP/1.1 000 \r\nContent-Length: 3\r\n\r\n",
		"status above 599":       "HTTP/1.1 600 x\r\nContent-Length: 3\r\n\r\n",
		"another protocol":       "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"space in a name":        "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 3\r\n\r\n",
		"space before a colon":   "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n",
		"control byte in a name": "HTTP/1.1 200 OK\r\nX-\x01Odd: 1\r\nContent-Length: 3\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, head+"abc")
				}
			}()
			service := httpport.NewPlainService(listener.Addr().String(), httpport.NewClient())
			resp, err := service.Call(t.Context(), port.ServiceRequest{Method: http.MethodPost, Path: "x"})
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				t.Fatalf("status %d, body %q, %v", resp.Status, body, err)
			}
			var v *verdict.Verdict
			assert.Assert(t, errors.As(err, &v))
			assert.Equal(t, v.Ran, verdict.MayHaveRun)
		})
	}
}
