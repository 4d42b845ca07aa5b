package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/gen/cairnworks/peer/v1/peerv1connect"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/port"
)

// Peer is a live instance other than the own one.
type Peer struct {
	// Address is IP:port for peers.
	Address string
	// Version is the highest version that the peer is known to hold; 0 when unknown.
	Version uint64
}

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	// Log is the platform's log.
	Log port.Log
	// Self is the own address for peers.
	Self string
	// Peers lists the live peers. It may be nil.
	Peers func() []Peer
	// Dial returns the client of a peer's ConfigService. It may be nil if Peers is.
	Dial func(address string) peerv1connect.ConfigServiceClient
	// Retention is how long the log keeps records. The set in force is republished
	// in time before; 0 switches this off.
	Retention time.Duration
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Seed makes waits, and the choice among peers that hold the same version,
	// differ from instance to instance.
	Seed uint64
}

// Follower keeps an instance on the newest version of the object set. Run does
// the work; every other method may be called at any time by any goroutine.
type Follower struct {
	cfg     FollowerConfig
	log     *zap.Logger
	scope   tally.Scope
	current atomic.Pointer[object.Index]

	// mu guards what follows.
	mu sync.Mutex
	// held is the highest version that arrived by any way.
	held held
	// caughtUp is set once the log was read to its end with a set in force.
	caughtUp bool
	// logDown is set while the last read failed.
	logDown bool
	// started is when Run began.
	started time.Time
	// notices holds versions that peers were said to hold and when that was heard.
	notices map[string]notice
	// refused is the last version from a peer that could not be used.
	refused notice
	carrier carrier

	// deliverMu orders deliveries, so that no subscriber sees versions go back.
	deliverMu   sync.Mutex
	subscribers map[uint64]func(*object.Index)
	nextID      uint64

	wake chan struct{}
	// rand is guarded by mu.
	rand *rand.Rand
}

// held is a version with the record that passes it on to peers.
type held struct {
	index *object.Index
	// record is made when the first peer asks, and kept for the others.
	record func() ([]byte, error)
}

func newHeld(set object.Set, version uint64) held {
	index := object.NewIndex(set, version)
	return held{index: index, record: sync.OnceValues(func() ([]byte, error) {
		return encodeSet(Header{Format: format, Kind: KindRepublish, Base: version, Through: version}, index.Published())
	})}
}

func (h held) version() uint64 {
	if h.index == nil {
		return 0
	}
	return h.index.Version()
}

// notice is a version that a peer was said to hold.
type notice struct {
	version uint64
	heard   time.Time
	// retry is set when the peer did not pass the version on, to the time from which
	// it is asked again. Until then others are asked for what they hold: the peer may
	// be gone, and a claim that nobody proves must not stop a fresh instance.
	retry time.Time
}

func (n notice) failed() bool { return !n.retry.IsZero() }

// NewFollower returns a follower that holds nothing until Run.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:         cfg,
		log:         cfg.Logger,
		scope:       tally.NoopScope,
		notices:     make(map[string]notice),
		subscribers: make(map[uint64]func(*object.Index)),
		wake:        make(chan struct{}, 1),
		rand:        rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
	if f.log == nil {
		f.log = zap.NewNop()
	}
	if cfg.Metrics != nil {
		f.scope = cfg.Metrics.Scope.SubScope("config")
	}
	return f
}

// Run follows the log and the peers until ctx ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	f.mu.Lock()
	f.started = time.Now()
	f.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.keepRepublished(ctx) })
	return group.Wait()
}

// Current returns the version in force on this instance, or nil while there is
// none that may be served.
func (f *Follower) Current() *object.Index { return f.current.Load() }

// Ready tells whether the instance may serve.
func (f *Follower) Ready() bool { return f.current.Load() != nil }

// Subscribe calls fn with the current version, if there is one, and with each
// new one, in rising order. A slow fn delays the next version; it must not call
// back into Subscribe. The returned function ends the subscription.
func (f *Follower) Subscribe(fn func(*object.Index)) (cancel func()) {
	f.deliverMu.Lock()
	defer f.deliverMu.Unlock()
	id := f.nextID
	f.nextID++
	f.subscribers[id] = fn
	if index := f.current.Load(); index != nil {
		fn(index)
	}
	return func() {
		f.deliverMu.Lock()
		defer f.deliverMu.Unlock()
		delete(f.subscribers, id)
	}
}

// offer takes a version that arrived from the log or from a peer. Only a higher
// one replaces the one held: a page that was read before an outage, or a peer
// that is behind, would otherwise bring a withdrawn key back to life.
func (f *Follower) offer(version uint64, set object.Set, source string) {
	f.mu.Lock()
	if version <= f.held.version() {
		f.mu.Unlock()
		return
	}
	f.held = newHeld(set, version)
	f.mu.Unlock()
	f.scope.Tagged(map[string]string{"source": source}).Counter("received").Inc(1)
	f.log.Info("configuration received", zap.Uint64("version", version), zap.String("source", source))
	if f.Ready() {
		f.deliver()
	}
}

// deliver puts the held version in force and tells subscribers.
func (f *Follower) deliver() {
	f.deliverMu.Lock()
	defer f.deliverMu.Unlock()
	f.mu.Lock()
	index := f.held.index
	f.mu.Unlock()
	if old := f.current.Load(); index == nil || old != nil && old.Version() >= index.Version() {
		return
	}
	f.current.Store(index)
	f.scope.Gauge("version").Update(float64(index.Version()))
	for _, fn := range f.subscribers {
		fn(index)
	}
}

// heldVersion is the highest version that arrived, in force or not.
func (f *Follower) heldVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.version()
}
