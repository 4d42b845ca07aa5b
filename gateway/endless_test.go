package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// endlessBody is a body that does not end. It counts the bytes that were read.
type endlessBody struct {
	begin io.Reader
	read  int
}

func (b *endlessBody) Read(to []byte) (int, error) {
	if n, err := b.begin.Read(to); err == nil {
		return n, nil
	}
	if b.read > 10*maxEventBytes {
		return 0, io.ErrUnexpectedEOF
	}
	for i := range to {
		to[i] = 'y'
	}
	b.read += len(to)
	return len(to), nil
}

func (*endlessBody) Close() error { return nil }

// Guards against a stream with an event that does not end: it is passed on until the deadline, or fails as if its caller
// had left and is not resumed elsewhere.
func TestEndlessEventEndsTheAttempt(t *testing.T) {
	for path, resumed := range map[string]bool{"/draft/1": false, "/resumable/1": true} {
		t.Run(path, func(t *testing.T) {
			gw := newTestGateway(t)
			gw.setReach(upstream.Unreachable)
			body := &endlessBody{begin: strings.NewReader(events(1, 2) + "id: 3\ndata: ")}
			gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
				if len(gw.sends) > 1 {
					return unframedAnswer(events(3, 5)), nil
				}
				return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body, Length: -1, EndStated: true}, nil
			}
			rec, aborted := gw.request(path, map[string]string{"Tokens": tokenCounts})
			assert.Assert(t, body.read <= 2*maxEventBytes, "%d bytes were read", body.read)
			if resumed {
				assert.Assert(t, !aborted)
				assert.Equal(t, rec.Body.String(), events(1, 5))
				return
			}
			assert.Assert(t, aborted)
			assert.Equal(t, len(gw.sends), 1)
		})
	}
}

// meteredBody is a body without an end whose bytes are counted until they reach the caller.
type meteredBody struct {
	begin io.Reader
	// held and most are the present and the largest numbers of bytes that were read and not written to the caller.
	held, most int
}

func (b *meteredBody) Read(to []byte) (int, error) {
	n, _ := b.begin.Read(to)
	for i := n; i < len(to); i++ {
		to[i] = 'y'
	}
	b.held += len(to)
	b.most = max(b.most, b.held)
	return len(to), nil
}

func (*meteredBody) Close() error { return nil }

// leavingCaller is a caller that leaves after some bytes of an answer.
type leavingCaller struct {
	*httptest.ResponseRecorder
	body *meteredBody
	left int
}

func (c *leavingCaller) Write(data []byte) (int, error) {
	if c.left -= len(data); c.left < 0 {
		return 0, io.ErrClosedPipe
	}
	c.body.held -= len(data)
	return len(data), nil
}

// Guards against an instance whose memory is exhausted by a body without an end that is held until its caller leaves.
func TestEndlessBodyIsNotHeld(t *testing.T) {
	for path, begin := range map[string]string{"/book/1": "", "/draft/1": "", "/draft/2": events(1, 2), "/resumable/1": events(1, 2)} {
		for _, length := range []int64{-1, 1 << 40} {
			t.Run(fmt.Sprint(path, " of ", length), func(t *testing.T) {
				gw := newTestGateway(t)
				body := &meteredBody{begin: strings.NewReader(begin)}
				gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
					return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: body, Length: length, EndStated: length >= 0}, nil
				}
				r := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
				r.Header = http.Header{"Id": {"1"}, "Key": {"key"}, "Tokens": {tokenCounts}}
				func() {
					defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
					gw.gateway.ServeHTTP(&leavingCaller{httptest.NewRecorder(), body, 20 * maxBufferedAnswer}, r)
				}()
				assert.Assert(t, body.most <= 2*maxBufferedAnswer, "%d bytes were held", body.most)
			})
		}
	}
}
