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

// Store is where the instances of a fleet keep its id.
type Store interface {
	// Load returns the id that is kept, after drawing and keeping one where there is none.
	Load(ctx context.Context) (ID, error)
}

const (
	// loadTimeout bounds one Load.
	loadTimeout = 1500 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed Load. An instance that waits for
	// its fleet's id serves nobody.
	retryMin = 200 * time.Millisecond
	retryMax = 600 * time.Millisecond
	// doubtInterval is the least time between two reads because of a stranger, which may
	// go on sending for as long as it likes.
	doubtInterval = 5 * time.Second
	// reportInterval is the time between two log lines about one other fleet.
	reportInterval = time.Minute
	// maxReported bounds the other fleets that are remembered for that.
	maxReported = 64
	// jitter is the part by which the time between two reads varies, so that not all
	// instances of a large fleet read at once.
	jitter = 0.25
)

// VerifierConfig is the configuration of a Verifier.
type VerifierConfig struct {
	Store Store
	// Name is the fleet's name in this instance's settings.
	Name string
	// Interval is the time between two reads of the id once it is known; 0 reads it again
	// only when another instance names a different one.
	Interval time.Duration
	// Spread is the time over which the first reads of instances that start together are
	// spread.
	Spread time.Duration
	Logger *zap.Logger
	// Metrics counts meetings by what came of them; nil counts nothing.
	Metrics tally.Scope
}

// Verifier knows the identity of this instance's fleet and judges others by it.
type Verifier struct {
	cfg      VerifierConfig
	id       atomic.Uint64
	doubt    chan struct{}
	known    chan struct{}
	meetings map[Relation]tally.Counter

	mu sync.Mutex
	// reported is when another fleet was last logged.
	reported map[Identity]time.Time
}

// NewVerifier returns a verifier that knows no id until Run has read it.
func NewVerifier(cfg VerifierConfig) *Verifier {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	k := &Verifier{cfg: cfg, doubt: make(chan struct{}, 1), known: make(chan struct{}), meetings: make(map[Relation]tally.Counter), reported: make(map[Identity]time.Time)}
	for _, r := range []Relation{Stranger, Undecided, SameName} {
		k.meetings[r] = cfg.Metrics.Tagged(map[string]string{"relation": r.String()}).Counter("fleet_meetings")
	}
	return k
}

// Identity returns what this instance says of its fleet.
func (k *Verifier) Identity() Identity {
	return Identity{ID: ID(k.id.Load()), Name: k.cfg.Name}
}

// Known returns a channel that is closed once the id has been read.
func (k *Verifier) Known() <-chan struct{} { return k.known }

// Run reads the id and goes on reading it until ctx ends.
func (k *Verifier) Run(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryMin, retryMax
	wait(ctx, time.Duration(rand.Float64()*float64(k.cfg.Spread)), nil)
	for ctx.Err() == nil {
		if err := k.load(ctx); err != nil {
			k.cfg.Logger.Warn("fleet id not read", zap.Stringer("fleet_id", k.Identity().ID), zap.Error(err))
			wait(ctx, pause.NextBackOff(), nil)
			continue
		}
		pause.Reset()
		wait(ctx, doubtInterval, nil)
		k.awaitNext(ctx)
	}
	return ctx.Err()
}

// awaitNext waits until the id is to be read again.
func (k *Verifier) awaitNext(ctx context.Context) {
	if k.cfg.Interval == 0 {
		select {
		case <-ctx.Done():
		case <-k.doubt:
		}
		return
	}
	varied := 1 + jitter*(2*rand.Float64()-1)
	wait(ctx, time.Duration(varied*float64(k.cfg.Interval)), k.doubt)
}

// wait returns after d, or earlier when ctx ends or early tells something.
func wait(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-early:
	}
}

func (k *Verifier) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	id, err := k.cfg.Store.Load(ctx)
	if err != nil {
		return err
	}
	if before := ID(k.id.Swap(uint64(id))); before != id {
		k.cfg.Logger.Info("fleet known", zap.String("fleet", k.cfg.Name), zap.Stringer("fleet_id", id), zap.Stringer("before", before))
		if before == 0 {
			close(k.known)
		}
	}
	return nil
}

// Check judges another instance by what it says of its fleet; it reports strangers to people
// and sees to it that the own id is read again, as the log may be a new one.
func (k *Verifier) Check(other Identity, instance, address string) Relation {
	own := k.Identity()
	relation := own.Relation(other)
	if relation == SameFleet {
		return relation
	}
	k.meetings[relation].Inc(1)
	if relation.Member() {
		return relation
	}
	if relation == Stranger {
		select {
		case k.doubt <- struct{}{}:
		default:
		}
	}
	if k.due(other) {
		k.cfg.Logger.Error("instance of another fleet is not heard", zap.Stringer("relation", relation),
			zap.String("fleet", own.Name), zap.Stringer("fleet_id", own.ID),
			zap.String("other_fleet", other.Name), zap.Stringer("other_id", other.ID),
			zap.String("other", instance), zap.String("address", address))
	}
	return relation
}

// due reports whether another fleet is to be logged now.
func (k *Verifier) due(other Identity) bool {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if last, known := k.reported[other]; known && now.Sub(last) < reportInterval {
		return false
	}
	if len(k.reported) >= maxReported {
		clear(k.reported)
	}
	k.reported[other] = now
	return true
}
