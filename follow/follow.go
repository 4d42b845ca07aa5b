// Package follow reads keyed topics of the platform's store as they grow, and continues after
// outages, expired records and rejected calls.
//
// A topic that all instances follow can be read by a few of them on behalf of all: these tell
// the others which records are new and as of when they were caught up with the topic
// (share.go). Every call of the store is billed, and if each instance reads for itself, the
// number of calls grows with the fleet: at 62 instances there were 174 a second, for a
// configuration that changes a few times a minute. No reader is elected. Instances are ranked
// in an order that all of them share: the first ones read continuously, and another one reads
// when the latest as-of time it knows becomes too old, so the loss of any readers costs one
// short delay.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/port"
)

// PollTiming sets how often a topic is read. Every call of the store is billed, and a topic
// that changes constantly would end a waiting call with every change.
type PollTiming struct {
	// Wait is how long a call waits at the store for a record.
	Wait time.Duration
	// Gap is the delay between two calls.
	Gap time.Duration
	// TakeoverAge is the age of the as-of time at which a standby instance reads a shared
	// topic itself. Stagger is added to it for each standby that precedes this one.
	TakeoverAge, Stagger time.Duration
}

// Handler processes the content of a topic. Its methods are not called concurrently.
type Handler interface {
	// Replace processes the newest record of every key; other keys no longer exist. Like Add,
	// it reports whether anything changed that other instances must know.
	Replace(records []port.KeyedRecord) (changed bool)
	// Add processes one further record.
	Add(record port.KeyedRecord) (changed bool)
	// Merge processes the newest record of every key after the store came back from a copy. The copy may have older
	// records than were processed, and what it lacks may be written again soon.
	Merge(records []port.KeyedRecord) (changed bool)
	// CaughtUp reports that every record that was in the topic at asOf has been processed.
	// asOf is a time of the clock that includes suspensions.
	CaughtUp(asOf time.Duration)
	// ReadFailed reports a failed call.
	ReadFailed()
}

// Limits for calls.
const (
	// callTimeoutMargin is the longest time without any part of a response, in addition to the
	// call's wait. The store answers within some milliseconds, and up to sixty times as slowly when
	// it is degraded.
	callTimeoutMargin = 1200 * time.Millisecond
	// maxCallTime limits a call whose response keeps arriving. All instances of a fleet that starts
	// share the store's rate.
	maxCallTime = 10 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed call. The store rejects
	// calls beyond its rate limit, and rejected calls are billed too.
	minRetryDelay = 120 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	Log     port.KeyedLog
	Topic   port.Topic
	Timing  PollTiming
	Handler Handler
	Logger  *zap.Logger
	// GapFactor multiplies the gap, if set. It is used to limit the total call rate of all
	// instances.
	GapFactor func() float64
	// Rank returns the number of instances that precede this one in the order of readers of a
	// shared topic. If it is nil, the topic is not shared, and each instance reads for itself.
	Rank func() int
	// Announce is called when there is something new to report to the other instances. It may
	// be nil.
	Announce func()
	// Fetcher fetches records that are too large for reports. If it is nil, they are read from the
	// store.
	Fetcher Fetcher
	// Carries is set for a topic whose records must outlive the store's copies: what was applied and is missing in a
	// copy is passed on to the other instances until it is written again.
	Carries bool
	// AwaitsPeers reports whether an instance that has just read the topic must hear of another one, or wait for
	// markTimeout, before it counts as caught up: the others may know what the store has lost. It may be nil.
	AwaitsPeers func() bool
	// OnEra is called when the store has come back from a copy. It must not block, and may be nil.
	OnEra func(era uint64)
	// Now is the clock that includes suspensions.
	Now boottime.Clock

	wake         chan struct{}
	failedCalls  int
	failingSince time.Duration

	mu sync.Mutex
	// next is the position up to which the topic is known, if known is set. rejoining is set if the store has come back
	// from a copy and nothing is known of the topic in the era of next.
	rejoining  bool
	next       uint64
	known      bool
	knownSince time.Duration
	// mark is the position after the last record that changed anything, if markKnown is set; see
	// Note.
	mark      uint64
	markKnown bool
	// asOf is the start time of the latest read, by any instance, that reached the end of the
	// topic. lastRead is when this instance's own last read ended.
	asOf, lastRead time.Duration
	// behind is set while another instance knows records that are missing here. They end below
	// behindMark, and are read from the store at catchUpAt unless they arrive earlier.
	behind      bool
	behindSince time.Duration
	catchUpAt   time.Duration
	behindMark  uint64
	// sources are the addresses of instances that have the missing records. failedFetches is the
	// number of failed fetches since they are missing.
	sources       []string
	failedFetches int
	// active is set while this instance reads the topic on behalf of all.
	active  bool
	relay   relay
	history history
	carried carried
	// gated is set while this instance waits for another one; see AwaitsPeers.
	gated bool
}

// NewFollower returns a follower of a topic. Exported fields may be set until Run is called.
func NewFollower(topic port.Topic, timing PollTiming, handler Handler) *Follower {
	return &Follower{Topic: topic, Timing: timing, Handler: handler, Logger: zap.NewNop(), Now: boottime.Now, wake: make(chan struct{}, 1), carried: newCarried()}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		f.waitUntilDue(ctx.Done())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		started := f.Now()
		if f.fetchMissing(ctx, started) {
			continue
		}
		if err := f.readOnce(ctx, started); err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.handleSuccess()
	}
}

func (f *Follower) gap() time.Duration {
	if f.GapFactor == nil {
		return f.Timing.Gap
	}
	return time.Duration(float64(f.Timing.Gap) * f.GapFactor())
}

// readOnce makes one call and processes its result.
func (f *Follower) readOnce(ctx context.Context, started time.Duration) error {
	f.mu.Lock()
	known, next := f.known && !f.rejoining, f.next
	wait := f.Timing.Wait
	if f.Rank != nil && (!f.active || f.behind) {
		wait = 0
	}
	f.mu.Unlock()
	ctx, cancel := withCallTimeout(ctx, wait)
	defer cancel()
	if !known {
		return f.readSnapshot(ctx, started)
	}
	records, next, err := f.Log.Since(ctx, f.Topic, next, wait)
	if errors.Is(err, port.ErrNewEra) {
		return f.readSnapshot(ctx, started)
	}
	if errors.Is(err, port.ErrCompacted) {
		f.Logger.Info("records expired; reading snapshot", zap.Stringer("topic", f.Topic), zap.Uint64("from", port.OffsetOf(next)))
		return f.readSnapshot(ctx, started)
	}
	if err != nil {
		return err
	}
	f.applyRecords(records, next, started)
	return nil
}

// withCallTimeout returns the context of a call that waits at the store. A response that arrives slowly
// is not given up: all that it has cost would be lost, and the next call would be as slow.
func withCallTimeout(ctx context.Context, wait time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	expire := func() { cancel(context.DeadlineExceeded) }
	silence := time.AfterFunc(wait+callTimeoutMargin, expire)
	total := time.AfterFunc(wait+maxCallTime, expire)
	return port.WithProgress(ctx, func() { silence.Reset(callTimeoutMargin) }), func() {
		silence.Stop()
		total.Stop()
		cancel(nil)
	}
}

// readSnapshot reads the newest record of each key.
func (f *Follower) readSnapshot(ctx context.Context, started time.Duration) error {
	records, next, err := f.Log.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	if f.isOfEarlierEra(next) {
		f.mu.Unlock()
		return errEarlierEra
	}
	before := f.next
	f.applySnapshot(records, next, started)
	announce := f.Rank != nil && f.Announce != nil && f.markKnown && port.EraOf(before) != port.EraOf(f.next)
	f.mu.Unlock()
	if announce {
		f.Announce()
	}
	return nil
}

// errEarlierEra is the error of a read that was answered before the store came back from a copy.
var errEarlierEra = errors.New("the response is of an earlier era of the store")

// applySnapshot processes the newest record of each key. f.mu must be held.
func (f *Follower) applySnapshot(records []port.KeyedRecord, next uint64, started time.Duration) {
	if f.isOfEarlierEra(next) {
		return
	}
	if f.known && port.EraOf(next) > port.EraOf(f.next) {
		f.beginEra(next, sourceStore)
	}
	if f.rejoining {
		f.rejoin(records, next)
		f.noteCaughtUp(started)
		f.queueRelay(next)
		return
	}
	if f.known && next < f.next {
		// Other instances have relayed records since this response was produced. Applying it
		// would remove them permanently, since they are not read again.
		f.noteCaughtUp(started)
		return
	}
	changed := f.replace(records)
	if !f.known || changed {
		f.history.reset(next)
	}
	if !f.known {
		f.known, f.knownSince = true, f.Now()
	}
	f.next = next
	if changed && f.markKnown {
		f.mark, f.relay = f.next, relay{}
	}
	f.noteCaughtUp(started)
}

// applyRecords processes the records of a read. Some may have been relayed in the meantime.
func (f *Follower) applyRecords(records []port.KeyedRecord, next uint64, started time.Duration) {
	f.mu.Lock()
	if f.isOfEarlierEra(next) || f.rejoining {
		f.mu.Unlock()
		return
	}
	changedUpTo := uint64(0)
	for _, record := range records {
		if record.Offset >= f.next && f.add(record) {
			f.history.add(record)
			changedUpTo = record.Offset + 1
		}
	}
	f.next = max(f.next, next)
	f.queueRelay(changedUpTo)
	f.noteCaughtUp(started)
	announce := f.Rank != nil && (changedUpTo > 0 || !f.active)
	f.mu.Unlock()
	if announce && f.Announce != nil {
		f.Announce()
	}
}

// noteCaughtUp records that a read of this instance reached the end of the topic. f.mu must be
// held.
func (f *Follower) noteCaughtUp(started time.Duration) {
	f.asOf = max(f.asOf, started)
	f.lastRead = f.Now()
	f.endBehind(sourceStore)
	f.gated = f.mustAwaitPeers(f.lastRead)
	if !f.gated {
		f.Handler.CaughtUp(started)
	}
}

// Sources of missing records, as they appear in logs.
const (
	sourceStore    = "store"
	sourceInstance = "instance"
)

// endBehind records that nothing is missing any more. f.mu must be held.
func (f *Follower) endBehind(source string) {
	if !f.behind {
		return
	}
	f.behind, f.sources, f.failedFetches = false, nil, 0
	f.Logger.Info("missing records received", zap.Stringer("topic", f.Topic), zap.String("source", source),
		zap.Uint64("next", port.OffsetOf(f.next)), zap.Duration("missing_for", f.Now()-f.behindSince))
}

// handleFailure reports a failed call and waits before the next one.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failedCalls == 0 {
		f.failingSince = f.Now()
		f.Logger.Warn("store reads failing", zap.Stringer("topic", f.Topic), zap.Error(err))
	}
	f.failedCalls++
	f.mu.Lock()
	f.Handler.ReadFailed()
	f.failedFetches = 0
	f.mu.Unlock()
	delay := min(minRetryDelay<<min(f.failedCalls-1, 4), maxRetryDelay)
	sleep(ctx, delay/2+rand.N(delay))
}

func (f *Follower) handleSuccess() {
	if f.failedCalls > 0 {
		f.Logger.Info("store reads recovered", zap.Stringer("topic", f.Topic), zap.Int("failed_calls", f.failedCalls),
			zap.Duration("after", f.Now()-f.failingSince))
	}
	f.failedCalls = 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
