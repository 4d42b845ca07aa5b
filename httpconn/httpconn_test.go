package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
)

// serve starts a server that calls handle for each request with its number, counted
// over all connections, and returns its address and the request count.
func serve(t *testing.T, handle func(c net.Conn, r *bufio.Reader, n int32)) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var requests atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					n := requests.Add(1)
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					handle(c, reader, n)
				}
			}()
		}
	}()
	return listener.Addr().String(), &requests
}

// Guards against a request that is sent after the process was suspended since it was checked.
func TestLateRequestIsNotSent(t *testing.T) {
	address, requests := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) { writeResponse(c, "1", "ok") })
	pool := NewPool()
	r := newGet("1")
	r.SendBefore = boottime.Now() - time.Millisecond
	_, err := pool.Do(t.Context(), address, r)
	assert.Assert(t, err != nil && !Sent(err), "%v", err)
	r.SendBefore = boottime.Now() + time.Minute
	resp, err := pool.Do(t.Context(), address, r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, requests.Load(), int32(1))
}

// Guards against connections to sound upstreams that are closed because the host is silent for a second or
// so: TCP_USER_TIMEOUT also decides when keep-alive probes give up.
func TestSilenceOfASecondOrSoIsTolerated(t *testing.T) {
	const silence = 2 * time.Second
	assert.Assert(t, toleratedSilence >= silence, "%v", toleratedSilence)
	assert.Assert(t, keepAlive*keepAliveProbes >= silence)
	pool := NewPool()
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) { writeResponse(c, "1", "ok") })
	conn, err := pool.open(t.Context(), address)
	assert.NilError(t, err)
	defer conn.Close()
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: int(userTimeout.Milliseconds()), unix.TCP_KEEPIDLE: int(keepAlive.Seconds()), unix.TCP_KEEPCNT: keepAliveProbes,
	} {
		var got int
		var failed error
		assert.NilError(t, raw.Control(func(fd uintptr) { got, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) }))
		assert.NilError(t, failed)
		assert.Equal(t, got, want)
	}
}

func newGet(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}},
		EchoHeader: "X-Id",
	}
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func readBody(t *testing.T, resp *Response) string {
	t.Helper()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(data)
}

// Guards against duplicate execution when an upstream crashes after reading a request
// on a reused connection, and closes it without a response: if the pool resent the
// request, a booking would be made twice.
func TestRequestIsNotResent(t *testing.T) {
	address, requests := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 2 {
			_ = c.Close()
			return
		}
		writeResponse(c, "1", "ok")
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, newGet("1"))
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "ok")
	_, err = pool.Do(t.Context(), address, newGet("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, Sent(err))
	assert.Equal(t, requests.Load(), int32(2))
	assert.Equal(t, pool.Opened(), uint64(1))
}

// If nothing listens at the address, the request cannot have run. The error must say
// so, because another upstream may then be tried even for calls that must not be
// repeated.
func TestRefusedConnectionSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewPool().Do(t.Context(), address, newGet("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !Sent(err))
	assert.Assert(t, Sent(errors.New("another error")))
}

// Guards against delivering a response to the wrong caller: if an upstream responds
// twice to a request, the second response must not be taken for the response to the
// next request on the connection.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 1 {
			writeResponse(c, "1", "one")
			writeResponse(c, "1", "one")
			return
		}
		writeResponse(c, "2", "two")
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, newGet("1"))
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "one")
	resp, err = pool.Do(t.Context(), address, newGet("2"))
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "two")
}

// Guards against the same fault if the second response arrives after the next request
// was sent. It is recognised by the id that upstreams echo.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 2 {
			writeResponse(c, "1", "one")
		}
		writeResponse(c, strconv.Itoa(int(n)), "own")
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		resp, err := pool.Do(t.Context(), address, newGet(id))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("X-Id"), id)
		assert.Equal(t, readBody(t, resp), "own")
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}

// Guards against accepting a truncated response as complete, both with a
// Content-Length and in chunked encoding.
func TestTruncatedResponseIsError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		resp, err := NewPool().Do(t.Context(), address, newGet("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, text)
	}
}

// A response without a length ends with its connection. If the connection is reset,
// the response is truncated, although the HTTP framing does not show it.
func TestResetBeforeEndOfBodyIsError(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		if n == 2 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, newGet("1"))
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "abc")
	resp, err = pool.Do(t.Context(), address, newGet("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
}

// Guards against an answer whose end was not stated and that nobody can tell from one whose end was.
func TestStatedEndIsKnown(t *testing.T) {
	for head, stated := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc":                            true,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                               true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n": true,
		"HTTP/1.1 204 No Content\r\n\r\n":                                            true,
		"HTTP/1.1 200 OK\r\n\r\nabc":                                                 false,
		"HTTP/1.0 200 OK\r\n\r\nabc":                                                 false,
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n":                               false,
	} {
		address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, head)
			_ = c.Close()
		})
		resp, err := NewPool().Do(t.Context(), address, newGet("1"))
		assert.NilError(t, err)
		assert.Equal(t, resp.EndStated, stated, head)
		readBody(t, resp)
	}
}

// Guards against reusing a connection whose upstream responded before reading the
// whole body: it would read the next request as the rest of that body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					writeResponse(c, "1", "early")
				}
				// Keeps the connection open without reading the rest of the body.
				time.Sleep(5 * time.Second)
			}()
		}
	}()
	pool := NewPool()
	req := newGet("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 32<<20)
	resp, err := pool.Do(t.Context(), listener.Addr().String(), req)
	assert.NilError(t, err)
	assert.Equal(t, readBody(t, resp), "early")
	assert.Assert(t, pool.popIdle(listener.Addr().String()) == nil)
}

// If a caller cancels a request in progress, the connection must be closed, so that
// the upstream can stop working on it.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader, _ int32) {
		cancel()
		_, _ = r.ReadByte()
		close(closed)
	})
	_, err := NewPool().Do(ctx, address, newGet("1"))
	assert.Assert(t, Sent(err))
	assert.Assert(t, errors.Is(err, context.Canceled))
	<-closed
}

// An upstream's Keep-Alive timeout must be observed: a request sent while the
// upstream closes the connection may or may not have run.
func TestIdleTimeFollowsKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                 DefaultIdle,
		"timeout=2, max=9": 2*time.Second - idleMargin,
		"timeout=0":        0,
		"timeout=900":      DefaultIdle,
	} {
		h := http.Header{}
		if header != "" {
			h.Set("Keep-Alive", header)
		}
		assert.Equal(t, idleTime(&http.Response{Header: h}), want, header)
	}
	assert.Equal(t, idleTime(&http.Response{Close: true}), time.Duration(0))
}

// Guards against request smuggling: white space in the path of a forged request would
// end the request line early and start another request.
func TestTargetWithWhiteSpaceIsRejected(t *testing.T) {
	address, requests := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) { writeResponse(c, "1", "ok") })
	req := newGet("1")
	req.Target = "/x HTTP/1.1\r\nHost: a\r\n\r\nGET /y"
	_, err := NewPool().Do(t.Context(), address, req)
	assert.Assert(t, !Sent(err))
	assert.Equal(t, requests.Load(), int32(0))
}
