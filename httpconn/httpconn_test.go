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

	"gotest.tools/v3/assert"
)

// serve answers each connection with a function and counts the requests it reads.
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

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"X-Id": {id}},
		MatchResponse: func(h http.Header) bool { return h.Get("X-Id") == "" || h.Get("X-Id") == id },
	}
}

func reply(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func read(t *testing.T, resp *Response) string {
	t.Helper()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	return string(data)
}

// An upstream reads a request on a kept connection and closes it without an answer,
// as one that crashes does. Sent once more by itself, a booking would be made twice.
func TestNothingIsSentTwice(t *testing.T) {
	address, requests := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 2 {
			_ = c.Close()
			return
		}
		reply(c, "1", "ok")
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "ok")
	_, err = pool.Do(t.Context(), address, get("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, Sent(err))
	assert.Equal(t, requests.Load(), int32(2))
	assert.Equal(t, pool.Opened(), uint64(1))
}

// Nobody listens at the address. The request cannot have run, so that another
// upstream may be asked even where a call must not be repeated.
func TestRefusedConnectionSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewPool().Do(t.Context(), address, get("1"))
	assert.Assert(t, err != nil)
	assert.Assert(t, !Sent(err))
	assert.Assert(t, Sent(errors.New("another error")))
}

// An upstream answers a request twice. Taken for the answer to the next request on
// the connection, the second one would reach another caller.
func TestSecondAnswerReachesNobody(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 1 {
			reply(c, "1", "one")
			reply(c, "1", "one")
			return
		}
		reply(c, "2", "two")
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "one")
	resp, err = pool.Do(t.Context(), address, get("2"))
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "two")
}

// The second answer comes late, when the next request has been sent already. It is
// told apart by the id that upstreams echo.
func TestLateAnswerIsSkipped(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		if n == 2 {
			reply(c, "1", "one")
		}
		reply(c, strconv.Itoa(int(n)), "own")
	})
	pool := NewPool()
	for _, id := range []string{"1", "2"} {
		resp, err := pool.Do(t.Context(), address, get(id))
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("X-Id"), id)
		assert.Equal(t, read(t, resp), "own")
	}
	assert.Equal(t, pool.Opened(), uint64(1))
}

// An upstream's answer ends early, with a length or in the middle of a chunk. What
// was read must not pass for a whole answer.
func TestShortAnswersAreErrors(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	} {
		address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		})
		resp, err := NewPool().Do(t.Context(), address, get("1"))
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, text)
	}
}

// An answer without a length ends with its connection. One that is reset on the way
// is not whole, though no framing says so.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, _ *bufio.Reader, n int32) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nabc")
		if n == 2 {
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	})
	pool := NewPool()
	resp, err := pool.Do(t.Context(), address, get("1"))
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "abc")
	resp, err = pool.Do(t.Context(), address, get("1"))
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
}

// An upstream answers before it has read a long body and reads on later. The next
// request on the connection would be taken for the rest of the body.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
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
					reply(c, "1", "early")
				}
				// The connection stays open, and nothing more is read.
				time.Sleep(5 * time.Second)
			}()
		}
	}()
	pool := NewPool()
	req := get("1")
	req.Method, req.Body = http.MethodPost, make([]byte, 32<<20)
	resp, err := pool.Do(t.Context(), listener.Addr().String(), req)
	assert.NilError(t, err)
	assert.Equal(t, read(t, resp), "early")
	assert.Assert(t, pool.take(listener.Addr().String()) == nil)
}

// A caller leaves while its request is at work. The upstream learns it by the end of
// the connection, and stops.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := serve(t, func(c net.Conn, r *bufio.Reader, _ int32) {
		cancel()
		_, _ = r.ReadByte()
		close(closed)
	})
	_, err := NewPool().Do(ctx, address, get("1"))
	assert.Assert(t, Sent(err))
	assert.Assert(t, errors.Is(err, context.Canceled))
	<-closed
}

// An upstream says for how long it keeps an idle connection. A request that crosses
// its close may have run or not.
func TestIdleTimeIsKept(t *testing.T) {
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

// A path with white space, as a forged request may have, would end the request line
// early and begin another message.
func TestForgedTargetIsNotSent(t *testing.T) {
	address, requests := serve(t, func(c net.Conn, _ *bufio.Reader, _ int32) { reply(c, "1", "ok") })
	req := get("1")
	req.Target = "/x HTTP/1.1\r\nHost: a\r\n\r\nGET /y"
	_, err := NewPool().Do(t.Context(), address, req)
	assert.Assert(t, !Sent(err))
	assert.Equal(t, requests.Load(), int32(0))
}
