package route

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/port"
)

// Retry policy of cancels. A cancel normally takes one round trip, about one millisecond; the
// retries cover lost responses. If all tries fail, the scheduler cancels the stream when it finds
// that the stream has no valid grant.
const (
	maxCancelTries       = 4
	cancelTimeout        = 500 * time.Millisecond
	initialCancelBackoff = 50 * time.Millisecond
)

// cancelStream releases the resources that an engine holds for a stream. It does not use the
// request's context: its cancellation is usually the reason for this call, so the cancel would not
// be sent and the engine's memory would not be freed.
func cancelStream(engine port.Engine, id port.StreamID, log *zap.Logger) {
	wait := initialCancelBackoff
	for try := 1; try <= maxCancelTries; try++ {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		err := engine.Cancel(ctx, id)
		cancel()
		if err == nil {
			return
		}
		log.Info("cancel failed", zap.String("request", id.RequestID), zap.Uint32("attempt", id.Attempt),
			zap.Int("try", try), zap.Error(err))
		time.Sleep(wait)
		wait *= 2
	}
}
