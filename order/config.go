// Package order gives orders to upstreams (load a model, an adapter or a version,
// change role) so that a late order cannot undo a newer one. Who may send is decided
// by package order/protocol over the log stream "orders".
package order

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/order/protocol"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/request"
)

// stream is the log stream of claims and results.
const stream = "orders"

// Defaults of Config.
const (
	// DefaultLease is enough for an engine to accept an order; loading may go on after
	// it. A dead holder keeps its upstream from others for as long.
	DefaultLease = time.Minute
	// DefaultReadBack is how long the upstream's state is asked for the order's
	// effect. Load reports lag by seconds.
	DefaultReadBack = 30 * time.Second
)

// Config is what a Service needs.
type Config struct {
	// Self is this run of this instance.
	Self request.Holder
	Log  port.Log
	// Engines dials upstreams.
	Engines port.EngineDialer
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock must be monotonic, as time.Now is, its default.
	Clock func() time.Time
	// Lease of a claim, at most protocol.MaxLease.
	Lease time.Duration
	// ReadBack bounds the wait for the order's effect.
	ReadBack time.Duration
}

// Service gives orders on one instance.
type Service struct {
	cfg    Config
	scope  tally.Scope
	reader *reader
}

// New checks the configuration and returns a Service. It needs no Run.
func New(cfg Config) (*Service, error) {
	if cfg.Log == nil || cfg.Engines == nil {
		return nil, fmt.Errorf("order: log and engines are needed")
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.ReadBack == 0 {
		cfg.ReadBack = DefaultReadBack
	}
	if cfg.Lease < 0 || cfg.Lease > protocol.MaxLease {
		return nil, fmt.Errorf("order: lease %v is not between 0 and %v", cfg.Lease, protocol.MaxLease)
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	scope := tally.NoopScope
	if cfg.Metrics != nil {
		scope = cfg.Metrics.Scope
	}
	return &Service{cfg: cfg, scope: scope.SubScope("order"), reader: newReader(cfg.Log, cfg.Clock, cfg.Logger)}, nil
}
