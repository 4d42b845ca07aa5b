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

// carrier is the newest record in the log with a whole set, and what is in force.
type carrier struct {
	// version is 0 while there is none.
	version uint64
	set     *object.Set
	offset  uint64
	// through is the last offset read; version is in force after it.
	through uint64
	// since is when the record was appended, as far as that is known.
	since time.Time
	// expired is when the record was found to be out of retention.
	expired time.Time
}

// update takes over what a replay found. The age of a record that was seen to
// arrive is known by the own clock. That of an older one is known by the log's
// clock only; if that is wrong, a republish comes too early or late, once.
func (c *carrier) update(replay *Replay, live bool, now time.Time) {
	c.version = replay.version
	c.set = replay.set
	c.through = replay.next - 1
	if replay.whole.Offset == c.offset {
		return
	}
	c.offset = replay.whole.Offset
	c.expired = time.Time{}
	c.since = now
	if appended := replay.whole.Appended; !live && !appended.IsZero() && appended.Before(now) {
		c.since = appended
	}
}

// noteFirst notices that the carrier expired earlier than the settings say.
func (f *Follower) noteFirst(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.carrier.version > 0 && first > f.carrier.offset && f.carrier.expired.IsZero() {
		f.carrier.expired = time.Now()
	}
}

// keepRepublished appends the set in force again before its record expires. A
// fresh instance could otherwise find nothing in the log. The live instance with
// the lowest address does it at half of the retention; should it fail to, the
// others follow from three quarters on, spread by their addresses. Two that do it
// at once are harmless: a republished set keeps its version, and the second record
// says what the first one says.
func (f *Follower) keepRepublished(ctx context.Context) error {
	if f.cfg.Retention <= 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	interval := min(max(f.cfg.Retention/64, time.Second), time.Minute)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var tried time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			c, due := f.republishDue(now)
			if !due || now.Sub(tried) < republishRetry {
				continue
			}
			tried = now
			f.republish(ctx, c)
		}
	}
}

func (f *Follower) republishDue(now time.Time) (carrier, bool) {
	f.mu.Lock()
	c, down := f.carrier, f.logDown
	f.mu.Unlock()
	if c.version == 0 || down {
		return c, false
	}
	return c, !now.Before(c.dueAt(f.cfg.Retention, f.lowestAddress(), f.spread()))
}

// dueAt is when the carrier should be repeated. An instance that is not the lowest
// waits until the lowest had time to do it.
func (c *carrier) dueAt(retention time.Duration, lowest bool, spread float64) time.Time {
	due := c.since.Add(retention / 2)
	extra := time.Duration(0)
	if !lowest {
		extra = retention/4 + time.Duration(spread*float64(retention/8))
	}
	if !c.expired.IsZero() && c.expired.Before(due) {
		due = c.expired
	}
	return due.Add(extra)
}

func (f *Follower) lowestAddress() bool {
	for _, p := range f.peers() {
		if p.Address < f.cfg.Self {
			return false
		}
	}
	return true
}

// spread maps the own address to [0, 1].
func (f *Follower) spread() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(f.cfg.Self))
	return float64(h.Sum32()) / math.MaxUint32
}

// republish appends the carrier's set once. Its result is not looked at: the
// record is seen when it is read, and tried again later if it is not.
func (f *Follower) republish(ctx context.Context, c carrier) {
	data, err := encodeSet(Header{Format: format, Kind: KindRepublish, Base: c.version, Through: c.through}, *c.set)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		entry := port.Entry{ID: fmt.Sprintf("config-again-%d-%s", c.version, rand.Text()), Data: data}
		_, err = f.cfg.Log.Append(ctx, Stream, entry)
	}
	f.scope.Counter("republished").Inc(1)
	f.log.Info("configuration republished", zap.Uint64("version", c.version), errorField(err))
}
