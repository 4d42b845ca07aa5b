package observe

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// NewActorSystem returns an actor system that discards the library's own coloured log output, which
// would break the log format of one line of key=value pairs per event.
func NewActorSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return DiscardSlog()
	}))
}
