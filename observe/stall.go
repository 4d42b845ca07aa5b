package observe

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
)

const (
	// stallCheckInterval is how often WatchStalls reads the clock.
	stallCheckInterval = 100 * time.Millisecond
	// minStall is the shortest time between two reads of the clock that is logged as a stall.
	minStall = 700 * time.Millisecond
)

// WatchStalls logs periods in which the process did not run because it was suspended or starved of
// CPU time, until ctx is done. Failures that other processes observe at such a time are caused by
// this process.
func WatchStalls(ctx context.Context, now boottime.Clock, logger *zap.Logger) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	last := now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := now()
		if gap := at - last; gap > minStall {
			logger.Warn("process stalled", zap.Duration("gap", gap))
		}
		last = at
	}
}
