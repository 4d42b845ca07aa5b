// Package operator implements an instance's HTTP API for operators, with JSON bodies: commands that
// change the instance, and queries.
//
// Commands and detailed queries require the bearer token from the settings. /healthz, /readyz and
// /metrics do not, since load balancer probes, supervisors and common scrapers cannot send one.
// These endpoints only return a status code or metrics, which contain names of objects but neither
// keys nor their hashes. The operators' address must not be reachable from the callers' network.
package operator

import (
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Config contains the dependencies of the endpoints.
type Config struct {
	// Token is the operators' bearer token. If it is empty, no endpoint requires a token; the
	// settings allow this on loopback addresses only.
	Token string
	// Logger logs each command.
	Logger *zap.Logger
	// Metrics serves the metrics.
	Metrics http.Handler

	// Sources of the queries. Endpoints without a source return status 404.
	Status    StatusSource
	Instances InstanceSource
	Upstreams UpstreamSource
	Queues    QueueSource
	Objects   ObjectSource

	// Targets of the commands. Endpoints without a target return status 404.
	Drainer   Drainer
	Level     LevelSetter
	Publisher Publisher

	// Mounts register further endpoints of other packages, which also require the token.
	Mounts []func(*http.ServeMux)
}

// LevelSetter gets and sets the log level. zap.AtomicLevel implements it.
type LevelSetter interface {
	Level() zapcore.Level
	SetLevel(level zapcore.Level)
}

// NewHandler returns the handler for the operators' address.
func NewHandler(cfg Config) http.Handler {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	public := http.NewServeMux()
	addProbes(public, cfg)
	protected := http.NewServeMux()
	addQueries(protected, cfg)
	addCommands(protected, cfg)
	for _, mount := range cfg.Mounts {
		mount(protected)
	}
	public.Handle("/", requireToken(cfg.Token, protected))
	// Otherwise, a web page in a browser on the operator's machine could send commands to an
	// instance on a loopback address without a token.
	return http.NewCrossOriginProtection().Handler(public)
}
