package config

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// Two operators publish on the same version concurrently. If both were told of success, the
// first change, which may withdraw a key, would be lost without notice.
func TestConcurrentPublishesOnOneBase(t *testing.T) {
	ctx := context.Background()
	log := newMemLog()
	one, two := testPublisher(log, "one"), testPublisher(log, "two")
	base, err := one.Publish(ctx, testSet(1), 0, "")
	assert.NilError(t, err)

	log.beforeAppend = func() {
		v, err := two.Publish(ctx, testSet(2), base, "")
		assert.NilError(t, err)
		assert.Equal(t, v, uint64(2))
	}
	_, err = one.Publish(ctx, testSet(3), base, "")
	assert.ErrorIs(t, err, ErrLostRace)
	var typed *PublishError
	assert.Assert(t, errors.As(err, &typed) && typed.Current == 2)

	latest, err := Latest(ctx, log)
	assert.NilError(t, err)
	assert.Equal(t, latest.Version, uint64(2))
	assert.Equal(t, latest.Set.Limits[0].Burst, int64(2))
	_, err = one.Publish(ctx, testSet(3), base, "")
	assert.ErrorIs(t, err, ErrStaleBase)
	judged, err := History(ctx, log)
	assert.NilError(t, err)
	assert.Equal(t, len(judged), 3)
	assert.Equal(t, judged[2].Judgement, VoidStaleBase)
}

// The log stores the record but its response is lost, or the record itself is lost. A
// publisher that guesses would report a failure for a successful publish, or a success for a
// failed one.
func TestLostAppendResponseIsResolvedByReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := newMemLog()
		p := testPublisher(log, "p")
		log.failAfterAppend = true
		v, err := p.Publish(ctx, testSet(1), 0, "")
		assert.NilError(t, err)
		assert.Equal(t, v, uint64(1))
		assert.Equal(t, len(log.records), 1)

		log.failBeforeAppend = true
		_, err = p.Publish(ctx, testSet(2), 1, "")
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
		assert.Equal(t, len(log.records), 1, "the record must not be appended again")
	})
}

// The lost record is appended after the operator has published again on the same base. It must
// have no effect.
func TestLateRecordOnStaleBaseIsVoid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		log := newMemLog()
		p := testPublisher(log, "p")
		_, err := p.Publish(ctx, testSet(1), 0, "")
		assert.NilError(t, err)
		late, err := encodeSet(Header{Format: recordFormat, Kind: KindPublish, Base: 1, Through: 1}, testSet(2))
		assert.NilError(t, err)
		_, err = p.Publish(ctx, testSet(3), 1, "")
		assert.NilError(t, err)
		_, err = log.Append(ctx, Stream, port.Entry{ID: "late", Data: late})
		assert.NilError(t, err)
		latest, err := Latest(ctx, log)
		assert.NilError(t, err)
		assert.Equal(t, latest.Set.Limits[0].Burst, int64(3))
	})
}

// An append is not acknowledged, and another operator's record is accepted on the base. The
// own record can only be void, so the operator is told at once.
func TestUnansweredAppendLosesToOtherRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemLog()
		log.beforeAppend = func() {
			_, err := testPublisher(log, "other").Publish(context.Background(), testSet(2), 0, "")
			assert.NilError(t, err)
			log.failBeforeAppend = true
		}
		_, err := testPublisher(log, "p").Publish(context.Background(), testSet(1), 0, "")
		assert.ErrorIs(t, err, ErrLostRace)
	})
}

// The log is unavailable before anything is written, or the set has faults. Nothing may be
// written, so that the operator can simply retry.
func TestRejectedPublishWritesNothing(t *testing.T) {
	log := newMemLog()
	link := &logLink{memLog: log}
	link.setDown(true)
	_, err := testPublisher(link, "p").Publish(context.Background(), testSet(1), 0, "")
	assert.ErrorIs(t, err, ErrNotPublished)
	bad := testSet(1)
	bad.Keys[0].Organisation = "nobody"
	_, err = testPublisher(log, "p").Publish(context.Background(), bad, 0, "")
	var typed *PublishError
	assert.Assert(t, errors.As(err, &typed) && errors.Is(err, ErrInvalidSet))
	assert.Equal(t, typed.Faults[0].Kind, object.FaultDangling)
	assert.Equal(t, len(log.records), 0)
}

// All records expired while no instance was running. A publish cannot know what it would
// replace and is rejected; a restart is accepted by every reader, and of two concurrent
// restarts only the first is.
func TestRestartAfterAllRecordsExpired(t *testing.T) {
	ctx := context.Background()
	log := newMemLog()
	p := testPublisher(log, "p")
	_, err := p.Publish(ctx, testSet(1), 0, "")
	assert.NilError(t, err)
	_, err = p.Restart(ctx, testSet(2), "")
	assert.ErrorIs(t, err, ErrStaleBase)
	log.expire(-time.Second)
	_, err = p.Publish(ctx, testSet(2), 1, "")
	assert.ErrorIs(t, err, ErrUnanchored)
	log.beforeAppend = func() {
		_, err := testPublisher(log, "other").Restart(ctx, testSet(3), "")
		assert.NilError(t, err)
	}
	_, err = p.Restart(ctx, testSet(2), "")
	assert.ErrorIs(t, err, ErrLostRace)
	latest, err := Latest(ctx, log)
	assert.NilError(t, err)
	assert.Equal(t, latest.Version, uint64(2))
	assert.Equal(t, latest.Set.Limits[0].Burst, int64(3))
}
