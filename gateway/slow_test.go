package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/upstream"
)

// Guards against lookups that are all sent twice in a burst, in which every upstream is slow but well.
func TestSlowLookupsOfABurstAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The actor system ends behind its last messages.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		w := newWorld(t)
		w.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
			select {
			case <-time.After(450 * time.Millisecond):
				return answer(http.StatusOK, "ok")
			case <-ctx.Done():
				return nil, crashed()
			}
		}
		for range 5 {
			rec, _ := w.ask("/read/1", nil)
			assert.Equal(t, rec.Code, http.StatusOK)
		}
		assert.Equal(t, len(w.sends), 5)
		assert.NilError(t, w.gateway.Metrics.Close())
	})
}
