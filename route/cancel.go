package route

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

// Tries and time of one cancel. A cancel normally takes one round trip, about a
// millisecond; the later tries cover an answer lost on the way. What still fails
// is left to the scheduler, which cancels streams without a live grant.
const (
	cancelTries   = 4
	cancelTimeout = 500 * time.Millisecond
	cancelBackoff = 50 * time.Millisecond
)

// cancelStream frees what an engine holds for a stream. It does not use the
// request's context: that one is usually the reason for the cancel, and a cancel
// under it would never be sent, leaving engine memory held for nobody.
func cancelStream(engine port.Engine, id port.StreamID, log *zap.Logger) {
	wait := cancelBackoff
	for try := 1; try <= cancelTries; try++ {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		err := engine.Cancel(ctx, id)
		stop()
		if err == nil {
			return
		}
		log.Info("cancel failed", zap.String("request", id.RequestID), zap.Uint32("attempt", id.Attempt),
			zap.Int("try", try), zap.Error(err))
		time.Sleep(wait)
		wait *= 2
	}
}
