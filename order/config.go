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
	// DefaultLease is enough for an engine to change its role. A dead holder keeps an
	// upstream that does not check tokens from others for as long.
	DefaultLease = time.Minute
	// DefaultLoadLease is enough to load a model: engines answer such an order when
	// the weights are there, and 200 GB at 1 GB/s take over three minutes.
	DefaultLoadLease = 10 * time.Minute
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
	// Lease and LoadLease are the leases of claims to change a role and to load
	// something, at most protocol.MaxLease.
	Lease     time.Duration
	LoadLease time.Duration
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
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.LoadLease, DefaultLoadLease)
	setDefault(&cfg.ReadBack, DefaultReadBack)
	for _, lease := range []time.Duration{cfg.Lease, cfg.LoadLease} {
		if lease < 0 || lease > protocol.MaxLease {
			return nil, fmt.Errorf("order: lease %v is not between 0 and %v", lease, protocol.MaxLease)
		}
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

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
