package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// boundBody is a body that can be read until ctx ends, as that of a connection that is closed then.
type boundBody struct {
	io.Reader
	ctx context.Context
}

func (b boundBody) Read(to []byte) (int, error) {
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.Reader.Read(to)
}

func (boundBody) Close() error { return nil }

const largeAnswer = 3 * maxBufferedAnswer

// Guards against plain answers that do not fit into the buffer and are cut off at its size.
func TestLargeAnswerIsForwardedWhole(t *testing.T) {
	for _, length := range []int64{largeAnswer, -1} {
		gw := newTestGateway(t)
		gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: boundBody{strings.NewReader(strings.Repeat("x", largeAnswer)), ctx}, Length: length, EndStated: length >= 0}, nil
		}
		rec, aborted := gw.request("/book/1", nil)
		assert.Assert(t, !aborted)
		assert.Equal(t, rec.Body.Len(), largeAnswer)
		assert.Equal(t, len(gw.gateway.plainPools.get("plain").allocator.OwnLoads()), 0, "a claim was left behind")
	}
}

// Guards against a large answer that breaks off after its first part was forwarded, and counts as a success.
func TestLargeAnswerThatBreaksOffIsNoSuccess(t *testing.T) {
	gw := newTestGateway(t)
	gw.setReach(upstream.Unreachable)
	gw.run = func(context.Context, upstream.Entry, *Call, RunOptions) (*Answer, error) {
		return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: &truncatedBody{strings.Repeat("x", largeAnswer)}, Length: 2 * largeAnswer, EndStated: true}, nil
	}
	_, aborted := gw.request("/book/1", nil)
	assert.Assert(t, aborted)
	for range 500 {
		gw.gateway.crashes.mu.Lock()
		found := len(gw.gateway.crashes.known) > 0
		gw.gateway.crashes.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the crash was not counted")
}
