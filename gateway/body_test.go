package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

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
