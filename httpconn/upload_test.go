package httpconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endUploads accepts connections, answers each request before its body has been read, without a length, and calls end.
func endUploads(t *testing.T, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nanswer")
				time.Sleep(5 * time.Millisecond)
				end(c.(*net.TCPConn))
			}
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

// upload sends a request whose body exceeds the buffers of a connection and reads the answer.
func upload(t *testing.T, address string) (string, error) {
	t.Helper()
	req := newGet("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 32<<20)
	resp, err := NewPool().Do(t.Context(), address, req)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against a truncated response without a length that looks complete, because the reset was reported to the write of
// the request and not to the read of the response.
func TestResetDuringUploadIsError(t *testing.T) {
	address := endUploads(t, func(c *net.TCPConn) { _ = c.SetLinger(0) })
	for range 10 {
		part, err := upload(t, address)
		assert.Assert(t, err != nil, "%q looks complete", part)
	}
}

// Guards against a complete response that counts as truncated, because its upstream closed the connection before it read the
// whole request.
func TestResponseThatEndsDuringUploadIsComplete(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"then stays open": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
		"then resets": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := endUploads(t, end)
			for range 10 {
				whole, err := upload(t, address)
				assert.NilError(t, err)
				assert.Equal(t, whole, "answer")
			}
		})
	}
}
