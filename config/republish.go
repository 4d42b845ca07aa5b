package config

import (
	"context"
	"crypto/rand"
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// fullSetRecord is the newest full-set record in the log, together with the current version
// and set.
type fullSetRecord struct {
	// version is 0 if there is no current version.
	version uint64
	set     *object.Set
	offset  uint64
	// through is the last offset read; version is current after it.
	through uint64
	// appendedAt is when the record was appended, as far as known.
	appendedAt time.Time
	// expiredAt is when the record was found to have expired.
	expiredAt time.Time
}

// update takes over the result of a replay. If the record was seen to arrive, its age is
// measured by the local clock. For an older record only the log's clock is available; if that
// is wrong, one republish comes too early or too late.
func (c *fullSetRecord) update(replay *Replay, live bool, now time.Time) {
	c.version = replay.version
	c.set = replay.set
	c.through = replay.next - 1
	if replay.fullRecord.Offset == c.offset {
		return
	}
	c.offset = replay.fullRecord.Offset
	c.expiredAt = time.Time{}
	c.appendedAt = now
	if appended := replay.fullRecord.Appended; !live && !appended.IsZero() && appended.Before(now) {
		c.appendedAt = appended
	}
}

// detectExpiry detects that the record expired earlier than the configured retention.
func (f *Follower) detectExpiry(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fullRecord.version > 0 && first > f.fullRecord.offset && f.fullRecord.expiredAt.IsZero() {
		f.fullRecord.expiredAt = time.Now()
	}
}

// republishLoop appends the current set again before its record expires, since a starting
// instance might otherwise find no set in the log. The live instance with the lowest address
// does this at half of the retention. If it fails to, the others follow from three quarters
// on, spread by their addresses. Concurrent republishes are harmless: a republished set keeps
// its version, and the second record repeats the first.
func (f *Follower) republishLoop(ctx context.Context) error {
	if f.cfg.Retention <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	interval := min(max(f.cfg.Retention/64, time.Second), time.Minute)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var lastAttempt time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			c, due := f.republishDue(now)
			if !due || now.Sub(lastAttempt) < republishRetryDelay {
				continue
			}
			lastAttempt = now
			f.republish(ctx, c)
		}
	}
}

func (f *Follower) republishDue(now time.Time) (fullSetRecord, bool) {
	f.mu.Lock()
	c, down := f.fullRecord, f.logDown
	f.mu.Unlock()
	if c.version == 0 || down {
		return c, false
	}
	return c, !now.Before(c.dueAt(f.cfg.Retention, f.hasLowestAddress(), f.addressFraction()))
}

// dueAt returns when the record should be republished. Instances other than the one with the
// lowest address wait longer, so that normally only that one republishes.
func (c *fullSetRecord) dueAt(retention time.Duration, lowest bool, spread float64) time.Time {
	due := c.appendedAt.Add(retention / 2)
	extra := time.Duration(0)
	if !lowest {
		extra = retention/4 + time.Duration(spread*float64(retention/8))
	}
	if !c.expiredAt.IsZero() && c.expiredAt.Before(due) {
		due = c.expiredAt
	}
	return due.Add(extra)
}

func (f *Follower) hasLowestAddress() bool {
	for _, p := range f.peers() {
		if p.Address < f.cfg.Self {
			return false
		}
	}
	return true
}

// addressFraction maps this instance's address to [0, 1].
func (f *Follower) addressFraction() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Self))
	return float64(h.Sum32()) / math.MaxUint32
}

// republish appends the set once. The result of the append is only logged: the record
// takes effect when it is read, and the republish is retried later if it does not appear.
func (f *Follower) republish(ctx context.Context, c fullSetRecord) {
	data, err := encodeSet(Header{Format: recordFormat, Kind: KindRepublish, Base: c.version, Through: c.through}, *c.set)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		entry := port.Entry{ID: fmt.Sprintf("config-again-%d-%s", c.version, rand.Text()), Data: data}
		_, err = f.cfg.Log.Append(ctx, Stream, entry)
	}
	f.scope.Counter("republished").Inc(1)
	f.log.Info("configuration republish attempted", zap.Uint64("version", c.version), errorField(err))
}
