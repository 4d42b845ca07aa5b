package config

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// Hundreds of changes a day of a large set, each as a whole record, would take
// more of every instance's link than control may use. Too long a chain of changes
// would keep a fresh instance from serving while it applies them.
func TestSmallEditsAreChangesBetweenWholeSets(t *testing.T) {
	ctx := context.Background()
	log := newMemLog()
	for n := range 2*maxChanges + 3 {
		mustPublish(t, log, n+1)
	}
	judged, err := History(ctx, log)
	assert.NilError(t, err)
	for i, j := range judged {
		want := KindChange
		if i%(maxChanges+1) == 0 {
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
	assert.DeepEqual(t, latest.Set, testSet(2*maxChanges+3))
}

// A change that does not yield what its writer had, or yields a set with faults,
// would put rules in force that nobody checked.
func TestChangesAreCheckedByTheirResult(t *testing.T) {
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
		{1, object.EditBetween(testSet(1), testSet(2)), setSum(testSet(2)), Accepted, 2},
		{1, object.EditBetween(testSet(1), testSet(2)), setSum(other), VoidMismatch, 1},
		{1, object.EditBetween(testSet(1), bad), setSum(object.EditBetween(testSet(1), bad).Apply(testSet(1))), VoidInvalid, 1},
		{0, object.EditBetween(testSet(1), testSet(2)), setSum(testSet(2)), VoidStaleBase, 1},
	} {
		replay := NewReplay(1)
		first, err := encodeSet(Header{Format: format, Kind: KindPublish}, testSet(1))
		assert.NilError(t, err)
		replay.Apply(port.Record{Offset: 1, Data: first})
		payload, err := compress(change{Edit: row.edit, Sum: row.sum})
		assert.NilError(t, err)
		data, err := encodeRecord(Header{Format: format, Kind: KindChange, Base: row.base, Through: 1}, payload)
		assert.NilError(t, err)
		judged := replay.Apply(port.Record{Offset: 2, Data: data})
		assert.Equal(t, judged[0].Judgement, row.want)
		assert.Equal(t, replay.Version(), row.version)
	}
}

// A republish that carries another set under the version in force would give that
// to fresh instances alone.
func TestRepublishOfAnotherSetIsVoid(t *testing.T) {
	replay := NewReplay(1)
	for i, want := range []Judgement{Accepted, Republished, VoidMismatch} {
		h := Header{Format: format, Kind: KindRepublish, Base: 1, Through: uint64(i)}
		if i == 0 {
			h = Header{Format: format, Kind: KindPublish}
		}
		data, err := encodeSet(h, testSet(1+i/2))
		assert.NilError(t, err)
		judged := replay.Apply(port.Record{Offset: uint64(i) + 1, Data: data})
		assert.Equal(t, judged[0].Judgement, want)
	}
	assert.Equal(t, replay.Version(), uint64(1))
}

// The log keeps records for less time than the settings say. Waiting for half of
// that would leave the log without a set meanwhile.
func TestRepublishIsDueWhenTheRecordIsGone(t *testing.T) {
	start := time.Unix(0, 0)
	c := carrier{since: start}
	const retention = 8 * time.Hour
	assert.Equal(t, c.dueAt(retention, true, 0), start.Add(4*time.Hour))
	assert.Equal(t, c.dueAt(retention, false, 0), start.Add(6*time.Hour))
	assert.Equal(t, c.dueAt(retention, false, 1), start.Add(7*time.Hour))
	c.expired = start.Add(time.Hour)
	assert.Equal(t, c.dueAt(retention, true, 0), start.Add(time.Hour))
}
