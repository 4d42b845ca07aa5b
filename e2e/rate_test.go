package e2e

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
)

// An organisation sends several times its rate through all instances concurrently, and one instance
// is killed meanwhile. The requests that all instances admit together must stay within the rate and
// the burst. The refusals of the other organisation are logged but not asserted.
func TestRateLimitHoldsAcrossInstancesWhileOneIsKilled(t *testing.T) {
	t.Parallel()
	limit := object.Limit{TokensPerSecond: 30 * lookupCost, Burst: 60 * lookupCost}
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond, limit: limit})
	ctx, cancel := context.WithCancel(context.Background())
	var admitted, refusedOther atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for _, d := range f.instances {
		for range 4 {
			wg.Go(func() {
				for ctx.Err() == nil {
					resp, _ := callPlain(ctx, d.callerAddress, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
					if resp.status == http.StatusOK {
						admitted.Add(1)
					}
				}
			})
		}
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			resp, _ := callPlain(ctx, f.instances[1].callerAddress, f.keys["beta"], http.MethodGet, "/roster/x", "", "")
			if resp.status != http.StatusOK && ctx.Err() == nil {
				refusedOther.Add(1)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	eventually(t, "30 requests are admitted", func() bool { return admitted.Load() >= 30 })
	f.instances[0].kill()
	admittedAtKill := admitted.Load()
	eventually(t, "60 more requests are admitted after the instance was killed", func() bool { return admitted.Load() > admittedAtKill+60 })
	total, elapsed := admitted.Load(), time.Since(start)
	cancel()
	wg.Wait()
	bound := (float64(limit.Burst) + float64(limit.TokensPerSecond)*elapsed.Seconds()) / lookupCost
	assert.Assert(t, float64(total) <= bound, "admitted %d requests in %v, want at most %.0f", total, elapsed, bound)
	t.Logf("admitted %d of at most %.0f requests in %v; %d requests of the other organisation were refused", total, bound, elapsed, refusedOther.Load())
}
