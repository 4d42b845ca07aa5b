// Package order sends orders to upstreams (load a model, an adapter or a version, change
// role) in such a way that a stale order cannot overwrite a newer one. Package
// order/protocol decides who may send, from the records of the log stream "orders".
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

// streamName is the log stream that holds claims and results.
const streamName = "orders"

// Defaults of Config.
const (
	// DefaultLease is long enough for an engine to change its role. A failed holder
	// blocks an upstream that does not check fencing tokens for the same time.
	DefaultLease = time.Minute
	// DefaultLoadLease is long enough to load a model: engines respond to such an order
	// once the weights are loaded, and 200 GB at 1 GB/s take over three minutes.
	DefaultLoadLease = 10 * time.Minute
	// DefaultReadBackTimeout is how long the upstream's state is polled for the order's effect.
	// Load reports lag by seconds.
	DefaultReadBackTimeout = 30 * time.Second
)

// Config configures a Service. Log and Engines are required.
type Config struct {
	// Self identifies this instance and its incarnation.
	Self request.Holder
	Log  port.Log
	// Engines dials upstreams.
	Engines port.EngineDialer
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Clock must return monotonic times. The default is time.Now.
	Clock func() time.Time
	// Lease is the lease of claims to change a role, LoadLease that of claims to load a
	// model or adapter. Each is at most protocol.MaxLease.
	Lease     time.Duration
	LoadLease time.Duration
	// ReadBackTimeout bounds the wait for the order's effect to show in the upstream's state.
	ReadBackTimeout time.Duration
}

// Service sends orders to upstreams on behalf of one instance.
type Service struct {
	cfg    Config
	scope  tally.Scope
	reader *reader
}

// New validates the configuration and returns a Service. The Service has no background
// work to start or stop.
func New(cfg Config) (*Service, error) {
	if cfg.Log == nil || cfg.Engines == nil {
		return nil, fmt.Errorf("order: Config.Log and Config.Engines are required")
	}
	setDefault(&cfg.Lease, DefaultLease)
	setDefault(&cfg.LoadLease, DefaultLoadLease)
	setDefault(&cfg.ReadBackTimeout, DefaultReadBackTimeout)
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
