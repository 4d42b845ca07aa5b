package httpport_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
)

// Guards against an answer without a length that looks complete although its service has reset the connection while the
// request was being written.
func TestResetDuringUploadIsTruncation(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				time.Sleep(5 * time.Millisecond)
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	service := httpport.NewPlainService(listener.Addr().String(), httpport.NewClient())
	for range 10 {
		resp, err := service.Call(t.Context(), port.ServiceRequest{Method: http.MethodPost, Path: "x", Body: make([]byte, 32<<20)})
		if err != nil {
			continue
		}
		part, err := io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, "%q looks complete", part)
		assert.NilError(t, resp.Body.Close())
	}
}
