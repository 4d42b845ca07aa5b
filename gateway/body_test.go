package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against memory exhaustion by bodies without a length that arrive at the same time: each counted as one
// chunk until it had been read.
func TestBodiesWithoutALengthAreCountedAsTheyArrive(t *testing.T) {
	const bodies, size, piece = 34, 1 << 20, 16 << 10
	gw := newTestGateway(t)
	gw.gateway.MaxBufferedBodyBytes = 8 << 20
	codes := make(chan int, bodies)
	callers := make(map[int]*io.PipeWriter, bodies)
	for n := range bodies {
		from, to := io.Pipe()
		callers[n] = to
		go func() {
			rec := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, "http://h/book/1", from)
			r.ContentLength = -1
			r.Header.Set("Key", "key")
			r.Header.Set("Id", fmt.Sprint(n))
			gw.gateway.ServeHTTP(rec, r)
			codes <- rec.Code
			_ = from.Close()
		}()
	}
	for range size/piece - 1 {
		for n, to := range callers {
			if _, err := to.Write(make([]byte, piece)); err != nil {
				assert.Equal(t, <-codes, http.StatusServiceUnavailable)
				delete(callers, n)
			}
		}
		held := gw.gateway.bufferedBodyBytes.Load()
		assert.Assert(t, held <= gw.gateway.MaxBufferedBodyBytes, "%d bytes are held", held)
	}
	assert.Assert(t, len(callers) >= 2 && len(callers) < bodies, "%d bodies were held", len(callers))
	for _, to := range callers {
		_ = to.CloseWithError(errors.New("left"))
		<-codes
	}
	assert.Equal(t, gw.gateway.bufferedBodyBytes.Load(), int64(0))
}

// Guards against a body that stops arriving and holds its memory until its caller leaves.
func TestStalledBodyIsRefusedAtTheDeadline(t *testing.T) {
	for _, framing := range []string{"Content-Length: 1000", "Transfer-Encoding: chunked"} {
		t.Run(framing, func(t *testing.T) {
			gw := newTestGateway(t)
			resp, body := gw.postStalled(t, framing, "key")
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(body, `"not_run"`), "%s", body)
			assert.Equal(t, len(gw.sends), 0)
		})
	}
}

// Guards against a refusal that is held back until a body that it does not need has arrived.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	for name, c := range map[string]struct {
		key    string
		memory int64
		status int
	}{"unknown key": {"none", 1 << 20, http.StatusUnauthorized}, "no memory": {"key", 10, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			gw.gateway.MaxBufferedBodyBytes = c.memory
			resp, _ := gw.postStalled(t, "Content-Length: 1000", c.key)
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}

// postStalled sends a request whose body stops arriving, and returns the answer.
func (gw *testGateway) postStalled(t *testing.T, framing, key string) (resp *http.Response, body string) {
	t.Helper()
	server := httptest.NewServer(gw.gateway)
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /book/1 HTTP/1.1\r\nHost: h\r\nKey: "+key+"\r\nId: 1\r\n"+framing+"\r\n\r\n5\r\nabcde\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(data)
}
