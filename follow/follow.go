// Package follow reads keyed topics of the platform's store as they grow, through
// outages, forgotten records and refusals.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
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
}

// Reader takes in what a topic holds. Its methods are called by one goroutine.
type Reader interface {
	// Replace takes the newest record of every key, after which no other key holds.
	Replace(records []port.KeyedRecord)
	// Add takes one more record.
	Add(record port.KeyedRecord)
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

	next   uint64
	known  bool
	failed int
	since  time.Duration
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := boottime.Now()
		if err := f.step(ctx); err != nil {
			f.lost(ctx, err)
			continue
		}
		f.regained()
		f.Reader.Proven(begun)
		sleep(ctx, f.gap())
	}
	return ctx.Err()
}

func (f *Follower) gap() time.Duration {
	if f.Slow == nil {
		return f.Pace.Gap
	}
	return time.Duration(float64(f.Pace.Gap) * f.Slow())
}

// step makes one call and hands on what it brought.
func (f *Follower) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Pace.Wait+callSlack)
	defer cancel()
	if !f.known {
		records, next, err := f.Log.Newest(ctx, f.Topic)
		if err != nil {
			return err
		}
		f.Reader.Replace(records)
		f.next, f.known = next, true
		return nil
	}
	records, next, err := f.Log.Since(ctx, f.Topic, f.next, f.Pace.Wait)
	if errors.Is(err, port.ErrForgotten) {
		f.known = false
		f.Logger.Info("history forgotten", zap.Stringer("topic", f.Topic), zap.Uint64("from", f.next))
		return f.step(ctx)
	}
	if err != nil {
		return err
	}
	for _, record := range records {
		f.Reader.Add(record)
	}
	f.next = next
	return nil
}

// lost tells of a failed call and pauses.
func (f *Follower) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if f.failed == 0 {
		f.since = boottime.Now()
		f.Logger.Warn("store lost", zap.Stringer("topic", f.Topic), zap.Error(err))
	}
	f.failed++
	f.Reader.Lost()
	pause := min(firstRetry<<min(f.failed-1, 4), lastRetry)
	sleep(ctx, pause/2+rand.N(pause))
}

func (f *Follower) regained() {
	if f.failed > 0 {
		f.Logger.Info("store regained", zap.Stringer("topic", f.Topic), zap.Int("failed_calls", f.failed),
			zap.Duration("after", boottime.Now()-f.since))
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
