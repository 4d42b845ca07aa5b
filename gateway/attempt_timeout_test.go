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

// Guards against sending every lookup twice during a burst in which all upstreams are slow but
// healthy.
func TestSlowLookupsOfABurstAreSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The actor system shuts down after its last messages.
		t.Cleanup(func() { time.Sleep(time.Minute) })
		gw := newTestGateway(t)
		gw.run = func(ctx context.Context, _ upstream.Entry, _ *Call, _ RunOptions) (*Answer, error) {
			select {
			case <-time.After(450 * time.Millisecond):
				return newAnswer(http.StatusOK, "ok")
			case <-ctx.Done():
				return nil, crashedError()
			}
		}
		for range 5 {
			rec, _ := gw.request("/read/1", nil)
			assert.Equal(t, rec.Code, http.StatusOK)
		}
		assert.Equal(t, len(gw.sends), 5)
		assert.NilError(t, gw.gateway.Metrics.Close())
	})
}
