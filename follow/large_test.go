package follow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
