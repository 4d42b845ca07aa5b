// Package operator serves an instance's operators: commands that change the
// instance and queries that read it, over HTTP with JSON on the operators' address.
//
// Commands and detailed queries need the bearer token of the settings. /healthz,
// /readyz and /metrics need none: the balancer's probes, the supervisor and
// ordinary scrapers cannot carry one, and what they read is a status code and
// counters, which hold names of objects but neither keys nor their hashes. The
// address itself is kept off the callers' network.
package operator

import (
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config is what the endpoints need of an instance.
type Config struct {
	// Token is the operators' bearer token. Without one every endpoint is open,
	// which the settings allow on loopback addresses only.
	Token string
	// Logger receives one line for each command.
	Logger *zap.Logger
	// Metrics is the scrape page.
	Metrics http.Handler

	// Sources of the queries. One that is nil answers with status 404.
	Status    StatusSource
	Instances InstanceSource
	Upstreams UpstreamSource
	Queues    QueueSource
	Objects   ObjectSource

	// Targets of the commands. One that is nil answers with status 404.
	Drainer   Drainer
	Level     LevelSetter
	Publisher Publisher

	// Mounts add further endpoints behind the token, those of packages that come
	// with their own.
	Mounts []func(*http.ServeMux)
}

// LevelSetter changes the least severe level that is logged; zap.AtomicLevel is one.
type LevelSetter interface {
	Level() zapcore.Level
	SetLevel(level zapcore.Level)
}

// NewHandler returns the handler of the operators' address.
func NewHandler(cfg Config) http.Handler {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	open := http.NewServeMux()
	addProbes(open, cfg)
	guarded := http.NewServeMux()
	addQueries(guarded, cfg)
	addCommands(guarded, cfg)
	for _, mount := range cfg.Mounts {
		mount(guarded)
	}
	open.Handle("/", requireToken(cfg.Token, guarded))
	// A page in a browser on the operator's machine could otherwise send commands
	// to an instance on loopback that has no token.
	return http.NewCrossOriginProtection().Handler(open)
}
