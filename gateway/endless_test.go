package gateway

import (
	"context"
	"io"
	"net/http"
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
