package observe

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
)

// Guards against failures caused by a stalled process that the log does not distinguish from
// others.
func TestStallsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.InfoLevel)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		start := time.Now()
		var skipped atomic.Int64
		now := func() time.Duration { return time.Since(start) + time.Duration(skipped.Load()) }
		go WatchStalls(ctx, now, zap.New(core))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, logs.Len(), 0)
		skipped.Add(int64(2 * time.Second))
		time.Sleep(time.Minute)
		synctest.Wait()
		assert.Equal(t, logs.Len(), 1)
		assert.Equal(t, logs.All()[0].ContextMap()["gap"], 2*time.Second+stallCheckInterval)
	})
}
