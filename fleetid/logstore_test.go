package fleetid

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

// appendFault is the outcome of an append.
type appendFault int

const (
	applied appendFault = iota
	dropped
	replyLost
	// delayed means that the reply is lost and the entries are applied only after later appends.
	delayed
	faultCount
)

// faultyLog is a log whose appends can be dropped or delayed, or lose their replies.
type faultyLog struct {
	*memlog.Log
	next           appendFault
	delayedEntries [][]port.Entry
}

var errNoReply = errors.New("no reply")

func (l *faultyLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	fault := l.next
	l.next = applied
	switch fault {
	case dropped:
		return 0, errNoReply
	case delayed:
		l.delayedEntries = append(l.delayedEntries, entries)
		return 0, errNoReply
	case replyLost:
		_, _ = l.Log.Append(ctx, stream, entries...)
		return 0, errNoReply
	default:
		return l.Log.Append(ctx, stream, entries...)
	}
}

// applyDelayed applies the oldest delayed append.
func (l *faultyLog) applyDelayed(ctx context.Context) {
	if len(l.delayedEntries) > 0 {
		_, _ = l.Log.Append(ctx, Stream, l.delayedEntries[0]...)
		l.delayedEntries = l.delayedEntries[1:]
	}
}

// expire drops all records before the newest valid one.
func (l *faultyLog) expire(t *rapid.T, ctx context.Context) {
	found, err := NewLogStore(l.Log, time.Hour).read(ctx)
	assert.NilError(t, err)
	if found.newest > 0 {
		l.Truncate(Stream, found.newest)
	}
}

// Checks that one log never yields two IDs, which would split its fleet, while instances start
// concurrently on an empty log, appends are dropped, delayed or lose their replies, and the log
// drops its oldest records. Two logs with the same ID would merge two fleets.
func TestConcurrentStartsAgreeOnLogStoreID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		log := &faultyLog{Log: memlog.New()}
		now := time.Unix(0, 0)
		stores := make([]*LogStore, 3)
		for i := range stores {
			stores[i] = NewLogStore(log, time.Hour)
			stores[i].now = func() time.Time { return now }
		}
		var known ID
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				log.applyDelayed(ctx)
			case 1:
				log.expire(t, ctx)
			case 2:
				now = now.Add(stores[0].renewalAge)
			default:
				log.next = appendFault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
				id, err := rapid.SampledFrom(stores).Draw(t, "store").Load(ctx)
				if err != nil {
					continue
				}
				assert.Assert(t, id != 0)
				assert.Assert(t, known == 0 || id == known, "%v, then %v", known, id)
				known = id
			}
		}
	})
}

// If no instance restarts for longer than the log's retention, the ID must not expire. The next
// instance to start would otherwise generate a new ID, and the rest of the fleet would reject it.
func TestIDIsRenewedBeforeItExpires(t *testing.T) {
	ctx := context.Background()
	log := memlog.New()
	now := time.Unix(0, 0)
	store := NewLogStore(log, 2*time.Hour)
	store.now = func() time.Time { return now }
	id, err := store.Load(ctx)
	assert.NilError(t, err)
	for range 12 {
		now = now.Add(store.Interval())
		again, err := store.Load(ctx)
		assert.NilError(t, err)
		assert.Equal(t, again, id)
	}
	written := log.Len(Stream)
	assert.Assert(t, written >= 6 && written <= 8, "%d records in six times the renewal", written)
	log.Truncate(Stream, uint64(written))
	other, err := NewLogStore(log, 2*time.Hour).Load(ctx)
	assert.NilError(t, err)
	assert.Equal(t, other, id)
}

// An instance that starts while the log is down must not generate an ID.
func TestNoIDWhileLogIsDown(t *testing.T) {
	log := memlog.New()
	log.SetDown(true)
	_, err := NewLogStore(log, time.Hour).Load(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, log.Len(Stream), 0)
}
