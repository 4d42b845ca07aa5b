package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/port"
)

// largeTiming is the timing of a configuration that must be applied within largeBound.
var largeTiming = PollTiming{Wait: 800 * time.Millisecond, Gap: 50 * time.Millisecond, TakeoverAge: 2400 * time.Millisecond, Stagger: 37 * time.Millisecond}

const (
	largeBound = 4 * time.Second
	// largeRecord is the size of a configuration with some thousand routes, in bytes.
	largeRecord = 700 << 10
	// largeRate is the rate of the store, in bytes per second, at sixty instances: as much for each
	// as 80 MB/s are at three hundred.
	largeRate = 16e6
)

// Guards against instances that all read a large configuration from the store at once, give their
// reads up halfway and start over, so that none gets it in time.
func TestLargeRecordsReachAllInstancesInTime(t *testing.T) {
	runFleetWithTiming(t, 60, largeTiming, func(s *testFleet) {
		s.topic.limitRate(largeRate)
		const versions, gap = 12, 330 * time.Millisecond
		for version := range versions {
			s.topic.putLarge(fmt.Sprint(version), largeRecord)
			time.Sleep(gap)
		}
		time.Sleep(largeBound - gap)
		late := 0
		for _, i := range s.instances {
			if known, _ := i.state(); known != fmt.Sprint(versions-1) {
				late++
			}
		}
		assert.Equal(t, late, 0, "instances without the newest version %v after it was written", largeBound)
	})
}

// Guards against store traffic that grows with the size of a configuration times the number of
// instances, which delays the reads of all other topics.
func TestLargeRecordIsReadFromStoreByFew(t *testing.T) {
	runFleetWithTiming(t, 60, largeTiming, func(s *testFleet) {
		before := s.topic.limitRate(largeRate)
		s.topic.putLarge("large", largeRecord)
		time.Sleep(largeBound)
		read := float64(s.topic.limitRate(largeRate)-before) / largeRecord
		assert.Assert(t, read <= 2*activeReaders, "the record was read from the store %.1f times", read)
		assert.Assert(t, s.allKnow("large"))
	})
}

// Guards against an instance that waits for others that do not serve it, while the store would.
func TestLargeRecordIsReadFromStoreIfNoInstanceServesIt(t *testing.T) {
	runFleetWithTiming(t, 9, largeTiming, func(s *testFleet) {
		s.set(func() { s.unreachable = func(int) bool { return true } })
		s.topic.putLarge("large", largeRecord)
		time.Sleep(largeBound)
		assert.Assert(t, s.allKnow("large"))
	})
}

// Guards against an instance that the store rejects and that stays without a configuration that is too
// large for a report.
func TestRejectedInstanceFetchesLargeRecord(t *testing.T) {
	runFleetWithTiming(t, 9, largeTiming, func(s *testFleet) {
		s.topic.refuse(4, 5, 6, 7, 8)
		s.topic.putLarge("large", largeRecord)
		time.Sleep(largeBound)
		assert.Assert(t, s.allKnow("large"))
		oldest := s.maxAge(10 * time.Second)
		assert.Assert(t, oldest < largeBound, "an as-of time was %v old", oldest)
	})
}

// Guards against a store that answers slowly and is asked again and again, because each response is
// given up halfway.
func TestSlowResponseIsNotGivenUp(t *testing.T) {
	runFleetWithTiming(t, 1, largeTiming, func(s *testFleet) {
		before := s.topic.limitRate(largeRecord / 2.5)
		s.topic.putLarge("large", largeRecord)
		time.Sleep(largeBound)
		assert.Assert(t, s.allKnow("large"))
		assert.Assert(t, s.topic.limitRate(0)-before <= 2*largeRecord)
	})
}

// Guards against missing records and deletions in what an instance serves to others.
func TestHistoryHoldsNewestRecordOfEachKey(t *testing.T) {
	var h history
	h.reset(10)
	h.add(port.KeyedRecord{Key: "a", Value: []byte("1"), Offset: 10})
	h.add(port.KeyedRecord{Key: "b", Value: []byte("2"), Offset: 11})
	before, _ := h.since(10)
	h.add(port.KeyedRecord{Key: "a", Offset: 12})
	assert.Equal(t, before[0].Key, "a", "what was handed out does not change")
	_, ok := h.since(9)
	assert.Assert(t, !ok)
	records, ok := h.since(10)
	assert.Assert(t, ok)
	assert.Equal(t, len(records), 2)
	total, largest := sizes(records)
	assert.Equal(t, total, 3)
	assert.Equal(t, largest, 2)
	assert.Assert(t, records[1].Key == "a" && records[1].Value == nil)
	h.add(port.KeyedRecord{Key: "c", Value: make([]byte, maxHistoryBytes), Offset: 13})
	_, ok = h.since(13)
	assert.Assert(t, !ok, "a record above the limit is not kept")
	records, ok = h.since(14)
	assert.Assert(t, ok && len(records) == 0)
}

// Guards against an instance that sends all entries of thousands of upstreams to each other instance
// when they start together.
func TestManySmallRecordsAreNotFetched(t *testing.T) {
	f := NewFollower(port.TopicUpstreams, testTiming, &instance{})
	f.Rank = func() int { return 0 }
	f.known, f.markKnown = true, true
	var records []port.KeyedRecord
	for n := range 1000 {
		records = append(records, port.KeyedRecord{Key: fmt.Sprint("u", n), Value: make([]byte, 300), Offset: uint64(n)})
	}
	f.applyRecords(records, 1000, 0)
	for _, known := range []uint64{0, 500} {
		n, ok := f.NoteFor(0, known)
		assert.Assert(t, ok && !n.Large && len(n.Records) == 0)
	}
	n, ok := f.NoteFor(0, 990)
	assert.Assert(t, ok && len(n.Records) == 10, "few missing records are relayed")
}
