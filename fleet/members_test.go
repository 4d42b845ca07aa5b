package fleet

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
)

// An instance has started again, and a datagram of its earlier run arrives late. Taken for
// the newer one it turns all reports to an address where nobody listens any more, and the
// instance that works hears nothing of its fleet and holds itself for cut off.
func TestALateReportOfAnEarlierRunChangesNothing(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Add(record("b", 1, 4))
	m.Introduce(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:6"})
	m.Introduce(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	assert.Equal(t, last[0].Incarnation, uint64(2))
	assert.Equal(t, last[0].Address, "1.2.3.4:6")
	assert.Assert(t, m.Current("b", 2) && !m.Current("b", 1))
	// Its entry in the store is the earlier run's until it has written its own.
	m.Add(record("b", 1, 5))
	m.CaughtUp(0)
	assert.Equal(t, last[0].Incarnation, uint64(2))
	m.Add(record("b", 2, 1))
	m.CaughtUp(0)
	assert.Equal(t, last[0].Beat, uint64(1))
}

// The time of day was set back before an instance started again, so that its run seems older
// than the one that ended. It must be known all the same once that one is silent.
func TestARunWithAnEarlierClockIsKnownOnceTheOtherIsSilent(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Introduce(Member{Name: "b", Incarnation: 5, Address: "1.2.3.4:5"})
	m.Introduce(Member{Name: "b", Incarnation: 3, Address: "1.2.3.4:6"})
	assert.Equal(t, last[0].Incarnation, uint64(5))
	ended := m.others["b"]
	ended.changed -= replacedAfter + time.Second
	ended.heard -= replacedAfter + time.Second
	m.others["b"] = ended
	m.Introduce(Member{Name: "b", Incarnation: 3, Address: "1.2.3.4:6"})
	assert.Equal(t, last[0].Incarnation, uint64(3))
}

// The store turns an instance away for long, so that its entry lapses or was never written,
// while it reports to all others. Dropped from the list it would not be counted, and what it
// spends would be spent once more by those who remain.
func TestAnInstanceThatIsHeardDoesNotLapse(t *testing.T) {
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Introduce(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	m.Replace(nil)
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	silent := m.others["b"]
	silent.changed -= 2 * Lapse
	m.others["b"] = silent
	m.Introduce(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	m.CaughtUp(0)
	assert.Equal(t, len(last), 1)
	silent = m.others["b"]
	silent.heard = boottime.Now() - 2*Lapse
	m.others["b"] = silent
	m.CaughtUp(0)
	assert.Equal(t, len(last), 0)
}

// A process sends reports under ever new names. Each would cost memory and reports to it,
// until the store is read whole again.
func TestUnlistedInstancesAreBounded(t *testing.T) {
	count := 0
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { count = len(list) })
	for i := range 3 * maxUnlisted {
		m.Introduce(Member{Name: fmt.Sprint("b", i), Incarnation: 1, Address: "1.2.3.4:5"})
	}
	assert.Equal(t, count, maxUnlisted)
	m.Add(record("listed", 1, 1))
	m.CaughtUp(0)
	assert.Equal(t, count, maxUnlisted+1)
}

// An instance that starts again must have a higher incarnation, or it is taken for its
// earlier run until that has been silent for a while.
func TestLaterRunsHaveHigherIncarnations(t *testing.T) {
	now := time.UnixMilli(1_796_000_000_000)
	for range 100 {
		assert.Assert(t, NewIncarnation(now) < NewIncarnation(now.Add(time.Millisecond)))
	}
}

// Guards against strong machines that are taken for the weakest once they have started again, since
// their new run was first heard by an answer.
func TestAnswersLeaveTheMachineKnown(t *testing.T) {
	strong := Machine{DataCentre: "x", Millicores: 800}
	var last []Member
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func(list []Member) { last = list })
	m.Introduce(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5", Machine: strong})
	m.Introduce(Member{Name: "b", Incarnation: 2, Address: "1.2.3.4:5"})
	assert.Equal(t, last[0].Incarnation, uint64(2))
	assert.Equal(t, last[0].Machine, strong)
}

// Guards against instances that start together and each take themselves for the whole fleet, since
// the list was empty when they read it first.
func TestEmptyListCountsOnceItWasReadAgain(t *testing.T) {
	m := NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.Introduce(Member{Name: "b", Incarnation: 1, Address: "1.2.3.4:5"})
	assert.Assert(t, !m.Settled(), "nothing was read")
	m = NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.Replace(nil)
	m.CaughtUp(0)
	assert.Assert(t, !m.Settled())
	m.firstRead -= aloneAfter
	m.CaughtUp(0)
	assert.Assert(t, m.Settled())
	m = NewMembers(Member{Name: "a"}, nil, zap.NewNop(), func([]Member) {})
	m.Add(record("b", 1, 4))
	m.CaughtUp(0)
	assert.Assert(t, m.Settled())
}
