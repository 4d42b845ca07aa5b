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

// An organisation sends several times its rate through every instance at once,
// and one instance dies on the way. What the instances admit together must stay
// within rate and burst; the other organisation is served all the while.
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
	eventually(t, "the burst is used up", func() bool { return admitted.Load() >= 30 })
	f.instances[0].kill()
	admittedAtKill := admitted.Load()
	eventually(t, "the rate flows on after the death", func() bool { return admitted.Load() > admittedAtKill+60 })
	total, elapsed := admitted.Load(), time.Since(start)
	cancel()
	wg.Wait()
	bound := (float64(limit.Burst) + float64(limit.TokensPerSecond)*elapsed.Seconds()) / lookupCost
	assert.Assert(t, float64(total) <= bound, "admitted %d in %v, the bound is %.0f", total, elapsed, bound)
	t.Logf("admitted %d of at most %.0f in %v; the other organisation was refused %d times", total, bound, elapsed, refusedOther.Load())
}
