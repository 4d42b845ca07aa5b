// Package follow reads keyed topics of the platform's store as they grow, through
// outages, forgotten records and refusals.
//
// A topic that all instances follow may be read by a few of them for all: these tell the
// others what is new and how old the proof is that nothing else is (share.go). Each call
// of the store is paid for, and calls of each instance for itself grow with the fleet: at
// 62 instances they were 174 a second, for a configuration that changes a few times a
// minute. Nobody is appointed. Who comes first in an order that all share reads all the
// time; another reads when the best proof that it has heard of grows old, so that the
// loss of any readers costs one short delay.
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

// Pace says how often a topic is read. Each call of the store is paid for, and a
// topic that changes all the time would wake a waiting call with every change.
type Pace struct {
	// Wait is how long a call waits at the store for a record.
	Wait time.Duration
	// Gap is the pause between two calls.
	Gap time.Duration
	// Spare is the age of the best proof from which an instance reads a shared topic
	// though others should, and Stagger what is added for each that comes before it.
	Spare, Stagger time.Duration
}

// Reader takes in what a topic holds. Its methods are called one at a time.
type Reader interface {
	// Replace takes the newest record of every key, after which no other key holds.
	// Both it and Add report whether anything has changed that others must know.
	Replace(records []port.KeyedRecord) (changed bool)
	// Add takes one more record.
	Add(record port.KeyedRecord) (changed bool)
	// Proven tells that all that stood in the topic when a call was begun has been
	// taken in. begun is of the clock that counts through suspensions.
	Proven(begun time.Duration)
	// Lost tells that a call failed.
	Lost()
}

// Figures of failed calls.
const (
	// callSlack is added to the waiting time of a call: the store answers in some
	// milliseconds, and up to sixty times as slowly when it is ill.
	callSlack = 1200 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call. The store refuses
	// calls beyond its rate, and refused ones are paid for like others.
	firstRetry = 120 * time.Millisecond
	lastRetry  = 600 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	Log    port.KeyedLog
	Topic  port.Topic
	Pace   Pace
	Reader Reader
	Logger *zap.Logger
	// Slow multiplies the gap, if set; all instances' calls together are bounded.
	Slow func() float64
	// Turn is the number of instances that come before this one in reading the topic
	// for all. Nil means that each reads for itself.
	Turn func() int
	// Kick is told when there is something new to tell the others. Nil is allowed.
	Kick func()
	// Now is the clock that counts through suspensions.
	Now boottime.Clock

	wake   chan struct{}
	failed int
	since  time.Duration

	mu sync.Mutex
	// next is the offset up to which the topic is known, once it is.
	next       uint64
	known      bool
	knownSince time.Duration
	// mark is the offset after the last record that changed anything, once that is
	// settled; see Note.
	mark   uint64
	marked bool
	// proof is when a read was begun that showed that nothing followed, lastRead when
	// this instance's own last one ended.
	proof, lastRead time.Duration
	// behind tells that another instance knows of records that are missing here, and
	// catchUp when they are read if they have not come before. They end below ahead.
	behind  bool
	catchUp time.Duration
	ahead   uint64
	// reads tells that this instance reads the topic for all.
	reads bool
	relay relay
}

// NewFollower returns a follower of a topic; the fields that are exported may be set
// until it runs.
func NewFollower(topic port.Topic, pace Pace, reader Reader) *Follower {
	return &Follower{Topic: topic, Pace: pace, Reader: reader, Now: boottime.Now, wake: make(chan struct{}, 1)}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for {
		f.waitForTurn(ctx.Done())
		if ctx.Err() != nil {
			return ctx.Err()
		}
		begun := f.Now()
		if err := f.step(ctx, begun); err != nil {
			f.lost(ctx, err)
			continue
		}
		f.regained()
	}
}

func (f *Follower) gap() time.Duration {
	if f.Slow == nil {
		return f.Pace.Gap
	}
	return time.Duration(float64(f.Pace.Gap) * f.Slow())
}

// step makes one call and hands on what it brought.
func (f *Follower) step(ctx context.Context, begun time.Duration) error {
	f.mu.Lock()
	known, next := f.known, f.next
	wait := f.Pace.Wait
	if f.Turn != nil && (!f.reads || f.behind) {
		wait = 0
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	if !known {
		return f.readWhole(ctx, begun)
	}
	records, next, err := f.Log.Since(ctx, f.Topic, next, wait)
	if errors.Is(err, port.ErrCompacted) {
		f.Logger.Info("history forgotten", zap.Stringer("topic", f.Topic), zap.Uint64("from", next))
		return f.readWhole(ctx, begun)
	}
	if err != nil {
		return err
	}
	f.add(records, next, begun)
	return nil
}

// readWhole reads the newest record of each key.
func (f *Follower) readWhole(ctx context.Context, begun time.Duration) error {
	records, next, err := f.Log.Newest(ctx, f.Topic)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeWhole(records, next, begun)
	return nil
}

// takeWhole takes in the newest record of each key; the lock is held.
func (f *Follower) takeWhole(records []port.KeyedRecord, next uint64, begun time.Duration) {
	if f.known && next < f.next {
		// Others have told of records since the answer was made, and it would take them
		// away again for good: they are not read twice.
		f.proven(begun)
		return
	}
	changed := f.Reader.Replace(records)
	if !f.known {
		f.known, f.knownSince = true, f.Now()
	}
	f.next = next
	if changed && f.marked {
		f.mark, f.relay = f.next, relay{}
	}
	f.proven(begun)
}

// add hands on the records of a read. Some may have come from others meanwhile.
func (f *Follower) add(records []port.KeyedRecord, next uint64, begun time.Duration) {
	var changed []port.KeyedRecord
	f.mu.Lock()
	for _, record := range records {
		if record.Offset >= f.next && f.Reader.Add(record) {
			changed = append(changed, record)
		}
	}
	f.next = max(f.next, next)
	f.changed(changed)
	f.proven(begun)
	tell := f.Turn != nil && (len(changed) > 0 || !f.reads)
	f.mu.Unlock()
	if tell && f.Kick != nil {
		f.Kick()
	}
}

// proven notes what a read of this instance has shown; the lock is held.
func (f *Follower) proven(begun time.Duration) {
	f.proof = max(f.proof, begun)
	f.lastRead = f.Now()
	f.behind = false
	f.Reader.Proven(begun)
}

// lost tells of a failed call and pauses.
func (f *Follower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failed == 0 {
		f.since = f.Now()
		f.Logger.Warn("store lost", zap.Stringer("topic", f.Topic), zap.Error(err))
	}
	f.failed++
	f.mu.Lock()
	f.Reader.Lost()
	f.mu.Unlock()
	pause := min(firstRetry<<min(f.failed-1, 4), lastRetry)
	sleep(ctx, pause/2+rand.N(pause))
}

func (f *Follower) regained() {
	if f.failed > 0 {
		f.Logger.Info("store regained", zap.Stringer("topic", f.Topic), zap.Int("failed_calls", f.failed),
			zap.Duration("after", f.Now()-f.since))
	}
	f.failed = 0
}

// sleep waits for a time or the end of ctx.
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
