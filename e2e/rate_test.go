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
func TestRateHoldsOverAllInstancesWhileOneDies(t *testing.T) {
	t.Parallel()
	limit := object.Limit{TokensPerSecond: 30 * rosterCost, Burst: 60 * rosterCost}
	f := newFleet(t, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 2, tokenTime: time.Millisecond, limit: limit})
	ctx, stop := context.WithCancel(context.Background())
	var admitted, refusedOther atomic.Int64
	var all sync.WaitGroup
	began := time.Now()
	for _, d := range f.instances {
		for range 4 {
			all.Go(func() {
				for ctx.Err() == nil {
					a, _ := call(ctx, d.callers, f.keys["alpha"], http.MethodGet, "/roster/x", "", "")
					if a.status == http.StatusOK {
						admitted.Add(1)
					}
				}
			})
		}
	}
	all.Go(func() {
		for ctx.Err() == nil {
			a, _ := call(ctx, f.instances[1].callers, f.keys["beta"], http.MethodGet, "/roster/x", "", "")
			if a.status != http.StatusOK && ctx.Err() == nil {
				refusedOther.Add(1)
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
	eventually(t, "the burst is used up", func() bool { return admitted.Load() >= 30 })
	f.instances[0].kill()
	atDeath := admitted.Load()
	eventually(t, "the rate flows on after the death", func() bool { return admitted.Load() > atDeath+60 })
	count, took := admitted.Load(), time.Since(began)
	stop()
	all.Wait()
	bound := (float64(limit.Burst) + float64(limit.TokensPerSecond)*took.Seconds()) / rosterCost
	assert.Assert(t, float64(count) <= bound, "admitted %d in %v, the bound is %.0f", count, took, bound)
	t.Logf("admitted %d of at most %.0f in %v; the other organisation was refused %d times", count, bound, took, refusedOther.Load())
}
