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

// Peer is a live instance other than this one.
type Peer struct {
	// Address is the IP:port for calls between instances.
	Address string
	// Version is the highest version that the peer is known to hold; 0 when unknown.
	Version uint64
}

// FollowerConfig holds the dependencies and settings of a Follower.
type FollowerConfig struct {
	// Log is the platform's log.
	Log port.Log
	// Self is this instance's address for peers.
	Self string
	// Peers lists the live peers. It may be nil.
	Peers func() []Peer
	// Dial returns a client for a peer's ConfigService. It may be nil if Peers is.
	Dial func(address string) peerv1connect.ConfigServiceClient
	// Retention is how long the log keeps records. The current set is republished before it
	// expires; 0 disables this.
	Retention time.Duration
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics *observe.Metrics
	// Seed makes delays, and the choice among peers that hold the same version, differ between
	// instances.
	Seed uint64
}

// Follower keeps an instance on the newest version of the object set. Run does the work; all
// other methods are safe for concurrent use at any time.
type Follower struct {
	cfg     FollowerConfig
	log     *zap.Logger
	scope   tally.Scope
	current atomic.Pointer[object.Index]

	// mu guards the fields below, up to activateMu.
	mu sync.Mutex
	// held is the highest version received from any source.
	held heldSet
	// caughtUp is set once the log has been read to its end and contained a current set.
	caughtUp bool
	// logDown is set while the last read of the log failed.
	logDown bool
	// started is when Run was called.
	started time.Time
	// advertised holds the versions that peers advertise, by peer address.
	advertised map[string]advertisement
	// rejected is the last version from a peer that could not be used.
	rejected   advertisement
	fullRecord fullSetRecord

	// activateMu serialises activations, so that no subscriber sees versions decrease.
	activateMu  sync.Mutex
	subscribers map[uint64]func(*object.Index)
	nextID      uint64

	wake chan struct{}
	// rand is guarded by mu.
	rand *rand.Rand
}

// heldSet is a version and the record that passes it on to peers.
type heldSet struct {
	index *object.Index
	// record is encoded when the first peer asks, and cached for the others.
	record func() ([]byte, error)
}

func newHeldSet(set object.Set, version uint64) heldSet {
	index := object.NewIndex(set, version)
	return heldSet{index: index, record: sync.OnceValues(func() ([]byte, error) {
		return encodeSet(Header{Format: recordFormat, Kind: KindRepublish, Base: version, Through: version}, index.Published())
	})}
}

func (h heldSet) version() uint64 {
	if h.index == nil {
		return 0
	}
	return h.index.Version()
}

// advertisement is a version that a peer claims to hold.
type advertisement struct {
	version uint64
	heardAt time.Time
	// retryAt is set when the peer failed to deliver the version, to the time at which it is
	// asked again. Until then other peers are asked for theirs: the peer may be gone, and a
	// version that nobody delivers must not block a starting instance.
	retryAt time.Time
}

func (n advertisement) failed() bool { return !n.retryAt.IsZero() }

// NewFollower returns a follower that holds no version until Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	f := &Follower{
		cfg:         cfg,
		log:         cfg.Logger,
		scope:       tally.NoopScope,
		advertised:  make(map[string]advertisement),
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
	group.Go(func() error { return f.republishLoop(ctx) })
	return group.Wait()
}

// Current returns the active version on this instance, or nil while there is none that may be
// served.
func (f *Follower) Current() *object.Index { return f.current.Load() }

// Ready reports whether the instance may serve.
func (f *Follower) Ready() bool { return f.current.Load() != nil }

// Subscribe calls fn with the current version, if there is one, and with each new one, in
// increasing order. A slow fn delays the next version; fn must not call Subscribe. The
// returned function ends the subscription.
func (f *Follower) Subscribe(fn func(*object.Index)) (cancel func()) {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
	id := f.nextID
	f.nextID++
	f.subscribers[id] = fn
	if index := f.current.Load(); index != nil {
		fn(index)
	}
	return func() {
		f.activateMu.Lock()
		defer f.activateMu.Unlock()
		delete(f.subscribers, id)
	}
}

// holdIfNewer takes a version that arrived from the log or from a peer. It replaces the held
// one only if it is higher: a page read before an outage, or a peer that lags behind, would
// otherwise make a withdrawn key valid again.
func (f *Follower) holdIfNewer(version uint64, set object.Set, source string) {
	f.mu.Lock()
	if version <= f.held.version() {
		f.mu.Unlock()
		return
	}
	f.held = newHeldSet(set, version)
	f.mu.Unlock()
	f.scope.Tagged(map[string]string{"source": source}).Counter("received").Inc(1)
	f.log.Info("configuration received", zap.Uint64("version", version), zap.String("source", source))
	if f.Ready() {
		f.activateHeld()
	}
}

// activateHeld activates the held version and notifies subscribers.
func (f *Follower) activateHeld() {
	f.activateMu.Lock()
	defer f.activateMu.Unlock()
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

// heldVersion returns the highest version received, whether active or not.
func (f *Follower) heldVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held.version()
}
