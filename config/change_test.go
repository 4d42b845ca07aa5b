package config

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// Guards against publishing every small edit as a full set: hundreds of those a day would
// exceed the share of each instance's link that control traffic may use. The number of
// consecutive changes is bounded, since a starting instance applies them all before it serves.
func TestSmallEditsAreChangesBetweenFullSets(t *testing.T) {
	ctx := context.Background()
	log := newMemLog()
	for n := range 2*maxChangesPerFullSet + 3 {
		mustPublish(t, log, n+1)
	}
	judged, err := History(ctx, log)
	assert.NilError(t, err)
	for i, j := range judged {
		want := KindChange
		if i%(maxChangesPerFullSet+1) == 0 {
			want = KindPublish
		}
		assert.Equal(t, j.Header.Kind, want, "record %d", i+1)
		assert.Equal(t, j.Judgement, Accepted)
		set, err := SetAt(ctx, log, j.Record.Offset)
		assert.NilError(t, err)
		assert.Equal(t, set.Limits[0].Burst, int64(i+1))
	}
	latest, err := Latest(ctx, log)
	assert.NilError(t, err)
	assert.DeepEqual(t, latest.Set, testSet(2*maxChangesPerFullSet+3))
}

// A change whose result differs from its writer's, or has faults, must not be accepted: it
// would activate a set that was never validated.
func TestChangesAreValidatedByResult(t *testing.T) {
	bad := testSet(2)
	bad.Limits = nil
	other := testSet(3)
	for _, row := range []struct {
		base    uint64
		edit    object.Edit
		sum     string
		want    Judgement
		version uint64
	}{
		{1, object.EditBetween(testSet(1), testSet(2)), setChecksum(testSet(2)), Accepted, 2},
		{1, object.EditBetween(testSet(1), testSet(2)), setChecksum(other), VoidMismatch, 1},
		{1, object.EditBetween(testSet(1), bad), setChecksum(object.EditBetween(testSet(1), bad).Apply(testSet(1))), VoidInvalid, 1},
		{0, object.EditBetween(testSet(1), testSet(2)), setChecksum(testSet(2)), VoidStaleBase, 1},
	} {
		replay := NewReplay(1)
		first, err := encodeSet(Header{Format: recordFormat, Kind: KindPublish}, testSet(1))
		assert.NilError(t, err)
		replay.Apply(port.Record{Offset: 1, Data: first})
		payload, err := compress(change{Edit: row.edit, Sum: row.sum})
		assert.NilError(t, err)
		data, err := encodeRecord(Header{Format: recordFormat, Kind: KindChange, Base: row.base, Through: 1}, payload)
		assert.NilError(t, err)
		judged := replay.Apply(port.Record{Offset: 2, Data: data})
		assert.Equal(t, judged[0].Judgement, row.want)
		assert.Equal(t, replay.Version(), row.version)
	}
}

// A republish that carries a different set under the current version must be void. Otherwise
// only newly started instances would load that set.
func TestRepublishOfDifferentSetIsVoid(t *testing.T) {
	replay := NewReplay(1)
	for i, want := range []Judgement{Accepted, Republished, VoidMismatch} {
		h := Header{Format: recordFormat, Kind: KindRepublish, Base: 1, Through: uint64(i)}
		if i == 0 {
			h = Header{Format: recordFormat, Kind: KindPublish}
		}
		data, err := encodeSet(h, testSet(1+i/2))
		assert.NilError(t, err)
		judged := replay.Apply(port.Record{Offset: uint64(i) + 1, Data: data})
		assert.Equal(t, judged[0].Judgement, want)
	}
	assert.Equal(t, replay.Version(), uint64(1))
}

// The log may keep records for less time than configured. The republish must then be due at
// once: at half of the configured retention, the log would hold no set for a while.
func TestRepublishIsDueWhenRecordExpiresEarly(t *testing.T) {
	start := time.Unix(0, 0)
	c := fullSetRecord{appendedAt: start}
	const retention = 8 * time.Hour
	assert.Equal(t, c.dueAt(retention, true, 0), start.Add(4*time.Hour))
	assert.Equal(t, c.dueAt(retention, false, 0), start.Add(6*time.Hour))
	assert.Equal(t, c.dueAt(retention, false, 1), start.Add(7*time.Hour))
	c.expiredAt = start.Add(time.Hour)
	assert.Equal(t, c.dueAt(retention, true, 0), start.Add(time.Hour))
}
