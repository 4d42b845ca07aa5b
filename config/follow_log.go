package config

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Waits between failed reads. The first is short, since a log that restarts is
// back within a second; the last is such that 400 instances ask a log that is
// down about 200 times a second.
const (
	firstLogRetry = 200 * time.Millisecond
	lastLogRetry  = 2 * time.Second
)

func newLogBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstLogRetry
	b.MaxInterval = lastLogRetry
	b.RandomizationFactor = 0
	return b
}

// jitter spreads a wait over half to one and a half of it, by the follower's own
// seed. Without it, instances that lost the log together ask again together.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rand.Int64N(int64(d)))
}

// followLog reads the log to its end and then waits for each new record.
func (f *Follower) followLog(ctx context.Context) error {
	retry := newLogBackoff()
	var replay *Replay
	for ctx.Err() == nil {
		var err error
		if replay == nil {
			replay, err = f.openLog(ctx)
		} else {
			err = f.readOn(ctx, replay)
		}
		f.noteLog(ctx, err)
		switch {
		case errors.Is(err, errGap) && replay != nil:
			f.scope.Counter("log_gaps").Inc(1)
			replay = nil
		case err != nil:
			pause(ctx, f.jitter(retry.NextBackOff()))
		default:
			retry.Reset()
		}
	}
	return ctx.Err()
}

// openLog finds what is in force at the end of the log.
func (f *Follower) openLog(ctx context.Context) (*Replay, error) {
	replay, err := readTail(ctx, f.cfg.Log)
	if err != nil {
		return nil, err
	}
	f.takeReplay(replay, false, true)
	return replay, nil
}

// readOn waits for records after those already read.
func (f *Follower) readOn(ctx context.Context, replay *Replay) error {
	page, err := readPage(ctx, f.cfg.Log, replay.next, pageSize, longPoll)
	if err != nil {
		return err
	}
	if page.Next < replay.next {
		// Offsets are never used twice, so that a shorter stream is not this one.
		f.scope.Counter("log_behind").Inc(1)
		return errLogBehind
	}
	judged, err := applyPage(replay, page)
	f.countJudged(judged)
	f.takeReplay(replay, true, page.Next <= replay.next)
	f.noteFirst(page.First)
	return err
}

var errLogBehind = errors.New("the log ends before a record that was read from it")

// takeReplay offers the replay's version and remembers which record carries it.
// The record was live if it was seen to arrive; atEnd tells whether the replay has
// reached the end of the log.
func (f *Follower) takeReplay(replay *Replay, live, atEnd bool) {
	if !replay.anchored || replay.set == nil {
		// Without an anchor nothing may be said about what is in force, so that
		// there is nothing to republish either.
		f.mu.Lock()
		f.carrier = carrier{}
		f.mu.Unlock()
		return
	}
	f.offer(replay.version, *replay.set, "log")
	f.mu.Lock()
	f.carrier.update(replay, live, time.Now())
	f.caughtUp = f.caughtUp || atEnd
	f.mu.Unlock()
	f.becomeReady()
}

func (f *Follower) countJudged(judged []JudgedRecord) {
	for _, j := range judged {
		f.scope.Tagged(map[string]string{"judgement": string(j.Judgement)}).Counter("records").Inc(1)
		f.log.Info("configuration record", zap.Uint64("offset", j.Record.Offset), zap.String("judgement", string(j.Judgement)))
	}
}

// noteLog remembers whether the log answers.
func (f *Follower) noteLog(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	down := err != nil && !errors.Is(err, errGap)
	f.mu.Lock()
	changed := f.logDown != down
	f.logDown = down
	f.mu.Unlock()
	if err != nil {
		f.scope.Counter("log_errors").Inc(1)
	}
	if !changed {
		return
	}
	if down {
		f.log.Warn("configuration log down", errorField(err))
		f.poke()
		return
	}
	f.log.Info("configuration log up")
}

// errorField gives the message alone. zap.Error adds the stack trace of errors
// that carry one, over many lines' worth of one line.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
