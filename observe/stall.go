package observe

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
)

const (
	// stallLook is how often WatchStalls looks at the clock.
	stallLook = 100 * time.Millisecond
	// stallGap is the time between two looks from which the process counts as having stood still.
	stallGap = 700 * time.Millisecond
)

// WatchStalls logs when the process did not run for a while, since it was suspended or starved,
// until ctx ends. What others see of it then is no fault of theirs.
func WatchStalls(ctx context.Context, now boottime.Clock, logger *zap.Logger) {
	ticker := time.NewTicker(stallLook)
	defer ticker.Stop()
	last := now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := now()
		if gap := at - last; gap > stallGap {
			logger.Warn("process stood still", zap.Duration("gap", gap))
		}
		last = at
	}
}
