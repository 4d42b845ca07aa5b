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

// appendFault is what becomes of an append.
type appendFault int

const (
	stands appendFault = iota
	lost
	answerLost
	// late: the answer is lost and the records stand only after others.
	late
	faults
)

// lateLog is a log whose appends may fail or come late.
type lateLog struct {
	*memlog.Log
	next appendFault
	held [][]port.Entry
}

var errNoAnswer = errors.New("no answer")

func (l *lateLog) Append(ctx context.Context, stream string, entries ...port.Entry) (uint64, error) {
	fault := l.next
	l.next = stands
	switch fault {
	case lost:
		return 0, errNoAnswer
	case late:
		l.held = append(l.held, entries)
		return 0, errNoAnswer
	case answerLost:
		_, _ = l.Log.Append(ctx, stream, entries...)
		return 0, errNoAnswer
	default:
		return l.Log.Append(ctx, stream, entries...)
	}
}

// land lets the oldest late append take effect.
func (l *lateLog) land(ctx context.Context) {
	if len(l.held) > 0 {
		_, _ = l.Log.Append(ctx, Stream, l.held[0]...)
		l.held = l.held[1:]
	}
}

// expire drops all records before the newest valid one.
func (l *lateLog) expire(t *rapid.T, ctx context.Context) {
	found, err := NewLogStore(l.Log, time.Hour).read(ctx)
	assert.NilError(t, err)
	if found.newest > 0 {
		l.Truncate(Stream, found.newest)
	}
}

// Instances start at the same moment on an empty log, their appends fail, are answered by
// nobody or stand only after others, and the log drops its oldest records. Two ids of one log
// would split its fleet in two, and two logs with one id would join two fleets.
func TestOneIDOfALog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		log := &lateLog{Log: memlog.New()}
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
				log.land(ctx)
			case 1:
				log.expire(t, ctx)
			case 2:
				now = now.Add(stores[0].renewal)
			default:
				log.next = appendFault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault"))
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

// Nobody restarts for a long time, and the log drops what is older than its retention. The
// next instance to start would find no id and draw another one, and the fleet would not know
// it.
func TestTheIDIsWrittenAnewBeforeItExpires(t *testing.T) {
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

// The log is down when an instance starts: it must not take any id for its fleet's.
func TestNoIDWhileTheLogIsDown(t *testing.T) {
	log := memlog.New()
	log.SetDown(true)
	_, err := NewLogStore(log, time.Hour).Load(t.Context())
	assert.Assert(t, err != nil)
	assert.Equal(t, log.Len(Stream), 0)
}
