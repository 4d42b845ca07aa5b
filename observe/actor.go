package observe

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"
)

// NewActorSystem returns an actor system without the library's own coloured log
// lines, which would break the one key=value line an event.
func NewActorSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return DiscardSlog()
	}))
}
