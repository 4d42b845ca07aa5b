package fleetid

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// Store persists the ID of a fleet.
type Store interface {
	// Load returns the stored ID. If there is none, it generates and stores one first.
	Load(ctx context.Context) (ID, error)
}

const (
	// loadTimeout is the timeout of one Load call.
	loadTimeout = 1500 * time.Millisecond
	// retryMin and retryMax are the bounds of the retry delay after a failed Load. An instance
	// does not serve requests until it has the fleet ID.
	retryMin = 200 * time.Millisecond
	retryMax = 600 * time.Millisecond
	// reloadInterval is the minimum time between two loads triggered by an instance of another
	// fleet, which may send messages at any rate.
	reloadInterval = 5 * time.Second
	// logInterval is the minimum time between two log lines about the same other fleet.
	logInterval = time.Minute
	// maxLoggedFleets is the maximum number of other fleets whose last log time is kept.
	maxLoggedFleets = 64
	// jitter is the fraction by which the load interval varies, so that the instances of a
	// large fleet do not all read at once.
	jitter = 0.25
)

// VerifierConfig is the configuration of a Verifier.
type VerifierConfig struct {
	Store Store
	// Name is the fleet's name in this instance's settings.
	Name string
	// Interval is the time between two loads once the ID is known. If 0, the ID is loaded
	// again only when another instance sends a different one.
	Interval time.Duration
	// Spread is the time over which the initial loads of instances that start together are
	// distributed.
	Spread time.Duration
	Logger *zap.Logger
	// Metrics counts the results of Check other than SameFleet, by relation. If nil, nothing
	// is counted.
	Metrics tally.Scope
}

// Verifier tracks the identity of this instance's fleet and checks other instances against it.
type Verifier struct {
	cfg    VerifierConfig
	id     atomic.Uint64
	reload chan struct{}
	// refresh triggers a load at once.
	refresh chan struct{}
	known   chan struct{}
	checks  map[Relation]tally.Counter

	mu sync.Mutex
	// lastLogged is when each other fleet was last logged.
	lastLogged map[Identity]time.Time
}

// NewVerifier returns a verifier without an ID; Run loads it.
func NewVerifier(cfg VerifierConfig) *Verifier {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	v := &Verifier{cfg: cfg, reload: make(chan struct{}, 1), refresh: make(chan struct{}, 1), known: make(chan struct{}), checks: make(map[Relation]tally.Counter), lastLogged: make(map[Identity]time.Time)}
	for _, r := range []Relation{Stranger, Undecided, SameName} {
		v.checks[r] = cfg.Metrics.Tagged(map[string]string{"relation": r.String()}).Counter("fleet_meetings")
	}
	return v
}

// Identity returns this instance's fleet identity.
func (v *Verifier) Identity() Identity {
	return Identity{ID: ID(v.id.Load()), Name: v.cfg.Name}
}

// Known returns a channel that is closed once the ID has been loaded.
func (v *Verifier) Known() <-chan struct{} { return v.known }

// Run loads the ID and keeps reloading it until ctx ends.
func (v *Verifier) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryMin, retryMax
	wait(ctx, time.Duration(rand.Float64()*float64(v.cfg.Spread)), nil)
	for ctx.Err() == nil {
		if err := v.load(ctx); err != nil {
			v.cfg.Logger.Warn("cannot read fleet ID", zap.Stringer("fleet_id", v.Identity().ID), zap.Error(err))
			wait(ctx, pause.NextBackOff(), nil)
			continue
		}
		pause.Reset()
		if wait(ctx, reloadInterval, v.refresh) {
			continue
		}
		v.waitForReload(ctx)
	}
	return ctx.Err()
}

// Refresh loads the ID again at once, because the store may have lost it.
func (v *Verifier) Refresh() {
	select {
	case v.refresh <- struct{}{}:
	default:
	}
}

// waitForReload waits until the ID should be loaded again.
func (v *Verifier) waitForReload(ctx context.Context) {
	if v.cfg.Interval == 0 {
		select {
		case <-ctx.Done():
		case <-v.reload:
		case <-v.refresh:
		}
		return
	}
	varied := 1 + jitter*(2*rand.Float64()-1)
	wait(ctx, time.Duration(varied*float64(v.cfg.Interval)), v.reload)
}

// wait waits for d, or until ctx ends or early receives a value or is closed, which it reports.
func wait(ctx context.Context, d time.Duration, early <-chan struct{}) (isEarly bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-early:
		return true
	}
	return false
}

func (v *Verifier) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	id, err := v.cfg.Store.Load(ctx)
	if err != nil {
		return err
	}
	if before := ID(v.id.Swap(uint64(id))); before != id {
		v.cfg.Logger.Info("fleet ID loaded", zap.String("fleet", v.cfg.Name), zap.Stringer("fleet_id", id), zap.Stringer("before", before))
		if before == 0 {
			close(v.known)
		}
	}
	return nil
}

// Check compares another instance's identity with this instance's own. For an instance of another
// fleet it logs an error, at most once per logInterval and fleet. If the IDs differ, it also triggers
// a reload of the own ID, because the log may have been replaced.
func (v *Verifier) Check(other Identity, instance, address string) Relation {
	own := v.Identity()
	relation := own.Relation(other)
	if relation == SameFleet {
		return relation
	}
	v.checks[relation].Inc(1)
	if relation.Member() {
		return relation
	}
	if relation == Stranger {
		select {
		case v.reload <- struct{}{}:
		default:
		}
	}
	if v.logDue(other) {
		v.cfg.Logger.Error("ignoring instance of another fleet", zap.Stringer("relation", relation),
			zap.String("fleet", own.Name), zap.Stringer("fleet_id", own.ID),
			zap.String("other_fleet", other.Name), zap.Stringer("other_id", other.ID),
			zap.String("other", instance), zap.String("address", address))
	}
	return relation
}

// logDue reports whether to log another fleet now, and records the time if so.
func (v *Verifier) logDue(other Identity) bool {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if last, known := v.lastLogged[other]; known && now.Sub(last) < logInterval {
		return false
	}
	if len(v.lastLogged) >= maxLoggedFleets {
		clear(v.lastLogged)
	}
	v.lastLogged[other] = now
	return true
}
