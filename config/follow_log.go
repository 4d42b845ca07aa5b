package config

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

// Delays between failed reads. The first is short, since a restarting log is back within a
// second; with the last, 400 instances send about 200 reads a second to a log that is
// unavailable.
const (
	initialLogRetry = 200 * time.Millisecond
	maxLogRetry     = 2 * time.Second
)

func newLogBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialLogRetry
	b.MaxInterval = maxLogRetry
	b.RandomizationFactor = 0
	return b
}

// jitter returns a random duration between half and one and a half times d, drawn from the
// follower's seed. Without it, instances that lost the log at the same time would retry at the
// same time.
func (f *Follower) jitter(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d/2 + time.Duration(f.rand.Int64N(int64(d)))
}

// followLog reads the log to its end and then waits for new records.
func (f *Follower) followLog(ctx context.Context) error {
	retry := newLogBackoff()
	var replay *Replay
	for ctx.Err() == nil {
		var err error
		if replay == nil {
			replay, err = f.openReplay(ctx)
		} else {
			err = f.readNext(ctx, replay)
		}
		f.updateLogStatus(ctx, err)
		switch {
		case errors.Is(err, errGap) && replay != nil:
			f.scope.Counter("log_gaps").Inc(1)
			replay = nil
		case err != nil:
			sleep(ctx, f.jitter(retry.NextBackOff()))
		default:
			retry.Reset()
		}
	}
	return ctx.Err()
}

// openReplay reads the end of the log to find the current version.
func (f *Follower) openReplay(ctx context.Context) (*Replay, error) {
	replay, err := readTail(ctx, f.cfg.Log)
	if err != nil {
		return nil, err
	}
	f.adoptReplay(replay, false, true)
	return replay, nil
}

// readNext waits for records after those already read.
func (f *Follower) readNext(ctx context.Context, replay *Replay) error {
	page, err := readPage(ctx, f.cfg.Log, replay.next, pageSize, longPoll)
	if err != nil {
		return err
	}
	if page.Next < replay.next {
		// Offsets are never reused, so a shorter stream is a different one.
		f.scope.Counter("log_behind").Inc(1)
		return errLogBehind
	}
	judged, err := applyPage(replay, page)
	f.reportJudged(judged)
	f.adoptReplay(replay, true, page.Next <= replay.next)
	f.detectExpiry(page.First)
	return err
}

var errLogBehind = errors.New("the log ends before an offset already read")

// adoptReplay takes over the replay's version and notes which record carries its full set.
// live is true if the last record was read as it arrived, atEnd if the replay has reached the
// end of the log.
func (f *Follower) adoptReplay(replay *Replay, live, atEnd bool) {
	if !replay.anchored || replay.set == nil {
		// Without an anchor the current version is unknown, so there is nothing to republish.
		f.mu.Lock()
		f.fullRecord = fullSetRecord{}
		f.mu.Unlock()
		return
	}
	f.holdIfNewer(replay.version, *replay.set, "log")
	f.mu.Lock()
	f.fullRecord.update(replay, live, time.Now())
	f.caughtUp = f.caughtUp || atEnd
	f.mu.Unlock()
	f.activateIfComplete()
}

func (f *Follower) reportJudged(judged []JudgedRecord) {
	for _, j := range judged {
		f.scope.Tagged(map[string]string{"judgement": string(j.Judgement)}).Counter("records").Inc(1)
		f.log.Info("configuration record judged", zap.Uint64("offset", j.Record.Offset), zap.String("judgement", string(j.Judgement)))
	}
}

// updateLogStatus records whether the log is available.
func (f *Follower) updateLogStatus(ctx context.Context, err error) {
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
		f.log.Warn("configuration log unavailable", errorField(err))
		f.wakePeerLoop()
		return
	}
	f.log.Info("configuration log available again")
}

// errorField logs the message alone. zap.Error would add the stack trace of errors that carry
// one, which turns one line into many.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
