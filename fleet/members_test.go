package fleet

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
)

// After an instance has restarted, a delayed datagram of its earlier run may arrive. If it were taken
// for the newer run, all reports would go to an address where nobody listens, and the active run would
// receive none and consider itself isolated.
func TestLateReportOfEarlierRunIsIgnored(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Add(record("b", 1, 4))
	m.RecordReport(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:6"})
	m.RecordReport(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	assert.Equal(t, last[0].Incarnation, uint64(2))
	assert.Equal(t, last[0].Address, "1.2.3.4:6")
	assert.Assert(t, m.IsCurrent("b", 2) && !m.IsCurrent("b", 1))
	// The store has the entry of the earlier run until the new run has written its own.
	m.Add(record("b", 1, 5))
	m.CaughtUp(0)
	assert.Equal(t, last[0].Incarnation, uint64(2))
	m.Add(record("b", 2, 1))
	m.CaughtUp(0)
	assert.Equal(t, last[0].Renewals, uint64(1))
}

// If the wall clock was set back before a restart, the new run has a lower incarnation than the one
// that ended. It must still be accepted once the earlier run is silent.
func TestRunWithLowerIncarnationReplacesSilentRun(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.RecordReport(Member{Name: "b", Incarnation: 5, Address: "1.2.3.4:5"})
	m.RecordReport(Member{Name: "b", Incarnation: 3, Address: "1.2.3.4:6"})
	assert.Equal(t, last[0].Incarnation, uint64(5))
	ended := m.others["b"]
	ended.lastChanged -= replaceSilence + time.Second
	ended.lastHeard -= replaceSilence + time.Second
	m.others["b"] = ended
	m.RecordReport(Member{Name: "b", Incarnation: 3, Address: "1.2.3.4:6"})
	assert.Equal(t, last[0].Incarnation, uint64(3))
}

// If the store rejects an instance for a long time, its entry expires or is never written, although it
// reports to all others. If it were removed from the list it would not be counted, and the remaining
// instances would spend its share a second time.
func TestReportingInstanceDoesNotExpire(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.RecordReport(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	m.Replace(nil)
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	silent := m.others["b"]
	silent.lastChanged -= 2 * EntryTTL
	m.others["b"] = silent
	m.RecordReport(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	silent = m.others["b"]
	silent.lastHeard = boottime.Now() - 2*EntryTTL
	m.others["b"] = silent
	m.CaughtUp(0)
	assert.Equal(t, len(last), 0)
}

// A process may send reports under ever new names. Each would use memory and be sent reports until the
// store is read completely again.
func TestUnlistedInstancesAreBounded(t *testing.T) {
	count := 0
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { count = len(list) })
	for i := range 3 * maxUnlisted {
		m.RecordReport(Member{Name: fmt.Sprint("b", i), Incarnation: 1, Address: "1.2.3.4:5"})
	}
	assert.Equal(t, count, maxUnlisted)
	m.Add(record("listed", 1, 1))
	m.CaughtUp(0)
	assert.Equal(t, count, maxUnlisted+1)
}

// A restarted instance must have a higher incarnation. Otherwise it is taken for its earlier run until
// that has been silent for a while.
func TestLaterRunsHaveHigherIncarnations(t *testing.T) {
	now := time.UnixMilli(1_796_000_000_000)
	for range 100 {
		assert.Assert(t, NewIncarnation(now) < NewIncarnation(now.Add(time.Millisecond)))
	}
}

// Guards against powerful machines that are taken for the weakest after a restart because their new run
// was first known by an answer, which does not contain the machine.
func TestAnswersKeepMachine(t *testing.T) {
	strong := Machine{DataCentre: "x", Millicores: 800}
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.RecordReport(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5", Machine: strong})
	m.RecordReport(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:5"})
	assert.Equal(t, last[0].Incarnation, uint64(2))
	assert.Equal(t, last[0].Machine, strong)
}

// Guards against instances that start together and each assume to be the whole fleet because the list
// was empty when they first read it.
func TestEmptyListIsSyncedAfterSecondRead(t *testing.T) {
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.RecordReport(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	assert.Assert(t, !m.HasSynced(), "nothing was read")
	m = NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.Replace(nil)
	m.CaughtUp(0)
	assert.Assert(t, !m.HasSynced())
	m.firstRead -= emptyListDelay
	m.CaughtUp(0)
	assert.Assert(t, m.HasSynced())
	m = NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.Add(record("b", 1, 4))
	m.CaughtUp(0)
	assert.Assert(t, m.HasSynced())
}
