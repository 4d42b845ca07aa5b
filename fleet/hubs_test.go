package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/hub"
)

// newFleetExchange returns an exchange in a fleet of the given size, which includes itself.
func newFleetExchange(t *testing.T, size int) *Exchange {
	t.Helper()
	x, _ := newExchange(t, "self")
	t.Cleanup(func() { x.conn.Close() })
	var members []Member
	for i := range size - 1 {
		m := Member{Name: fmt.Sprint("i", i), Incarnation: 1, Address: "127.0.0.1:9", Machine: Machine{DataCentre: fmt.Sprint(i % 5), Millicores: 192}}
		if i%20 == 0 {
			m.Machine.Millicores = 800
		}
		members = append(members, m)
	}
	x.SetMembers(members)
	return x
}

// Guards against a large fleet in which every instance reports to every other.
func TestLargeFleetUsesStrongestMachinesAsHubs(t *testing.T) {
	x := newFleetExchange(t, 100)
	hubs := x.Hubs()
	assert.Equal(t, len(hubs), hub.Hubs)
	strong := 0
	for _, h := range hubs {
		if x.peers[h.Name].Machine.Millicores == 800 {
			strong++
		}
	}
	assert.Equal(t, strong, 5)
	assert.Assert(t, !x.IsHub() && x.Rank("s") >= len(hubs))
	assert.Equal(t, len(newFleetExchange(t, hub.MaxFullMesh).Hubs()), hub.MaxFullMesh)
}

// Guards against an instance that keeps polling a dead hub.
func TestSilentHubIsReplaced(t *testing.T) {
	x := newFleetExchange(t, 100)
	now := boottime.Now()
	first := x.currentSelection(now).hubs[0]
	p := x.peers[first.Name]
	x.writeReport(now, p, nil)
	assert.Assert(t, contains(x.currentSelection(now+hubTimeout), first.Name))
	gone := now + hubTimeout + 2*selectionMaxAge
	assert.Assert(t, !contains(x.currentSelection(gone), first.Name))
	assert.Equal(t, len(x.currentSelection(gone).hubs), hub.Hubs)
	// It becomes a candidate again after a while if another hub lists it.
	x.retryMentioned(gone, first)
	assert.Assert(t, !contains(x.currentSelection(gone+2*selectionMaxAge), first.Name))
	x.retryMentioned(gone+mentionRetryDelay, first)
	assert.Assert(t, contains(x.currentSelection(gone+mentionRetryDelay), first.Name))
	x.MarkSuspect(first.Name)
	assert.Assert(t, !contains(x.currentSelection(boottime.Now()), first.Name))
}

// Guards against hub work for an instance that is about to stop.
func TestLeavingInstanceIsNotAHub(t *testing.T) {
	x := newFleetExchange(t, 10)
	x.lastWake = boottime.Now()
	x.recordFleetState(x.lastWake, &Report{Instance: "i3", Incarnation: 1, Leaving: true})
	assert.Assert(t, !contains(x.currentSelection(x.lastWake), "i3"))
	assert.Assert(t, contains(x.currentSelection(x.lastWake), "self"))
	x.Leave()
	assert.Assert(t, !contains(x.currentSelection(x.lastWake), "self"))
}

// Guards against an instance that overestimates its share of the rates because it receives reports from
// only part of the fleet.
func TestFleetSizeIsTakenFromHubs(t *testing.T) {
	x := newFleetExchange(t, 20)
	now := boottime.Now()
	x.recordFleetState(now, &Report{Instance: "i3", Incarnation: 1, Answer: true, Instances: 295})
	x.recordFleetState(now, &Report{Instance: "i4", Incarnation: 1, Answer: true, Instances: 290})
	x.selection.at = 0
	assert.Equal(t, x.currentSelection(now).size, SizeOf(295))
	// While no reports are received, the last reported size remains valid.
	assert.Equal(t, x.currentSelection(now+time.Minute).size, SizeOf(295))
	x.last[RunOf("i3", 1)] = lastReport{at: now + time.Hour}
	assert.Equal(t, x.currentSelection(now+time.Hour).size, SizeOf(20))
}

// Guards against an isolated instance that never retries the other instances.
func TestIsolatedInstanceRetriesPeers(t *testing.T) {
	x := newFleetExchange(t, 40)
	now := boottime.Now()
	for _, p := range x.peers {
		x.writeReport(now, p, nil)
	}
	later := now + hubTimeout + time.Second
	assert.Equal(t, len(x.currentSelection(later).hubs), 1)
	x.resetSilence()
	assert.Equal(t, len(x.currentSelection(later).hubs), hub.Hubs)
}

// Guards against instances that never discover each other. An instance that knows only a weak instance
// as a hub must learn from it of better hubs.
func TestPollsAreAnsweredWithBetterHubs(t *testing.T) {
	var exchanges []*Exchange
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for i := range 40 {
		x, _ := newExchange(t, fmt.Sprint("i", i))
		x.self.Machine.Millicores = 100 + 700*(i%2)
		m := NewMembers(x.self, nil, zap.NewNop(), x.SetMembers)
		x.OnReport(m.RecordReport)
		x.OnMention(m.RecordMention)
		if i > 0 {
			// Each knows one of the instances that started before it.
			before := exchanges[i/2].self
			m.RecordReport(before)
		}
		exchanges = append(exchanges, x)
	}
	for _, x := range exchanges {
		go func() { _ = x.Run(ctx) }()
	}
	converged := func() bool {
		want := membersDigest(exchanges[0].currentSelection(boottime.Now()).hubs)
		for _, x := range exchanges {
			n, _ := x.Size().Instances()
			if membersDigest(x.currentSelection(boottime.Now()).hubs) != want || n < len(exchanges) {
				return false
			}
		}
		return true
	}
	for !converged() {
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a fleet in which, after a power loss, ended runs are taken for settled ones, so that
// instances report to different hubs for many seconds.
func TestRestartedFleetChoosesTheSameHubs(t *testing.T) {
	x := newFleetExchange(t, 100)
	now := boottime.Now()
	before := membersDigest(x.currentSelection(now).hubs)
	x.self.Incarnation = NewIncarnation(time.Now())
	for i, m := range x.currentSelection(now).hubs {
		if i%2 == 0 {
			m.Incarnation = x.self.Incarnation + 1
			p := x.peers[m.Name]
			p.Member, p.run = m, RunOf(m.Name, m.Incarnation)
			x.last[p.run] = lastReport{sequence: 1, at: now}
		}
	}
	x.selection.at = 0
	assert.Equal(t, membersDigest(x.currentSelection(now).hubs), before)
}

func contains(c hubSelection, name string) bool {
	for _, m := range c.hubs {
		if m.Name == name {
			return true
		}
	}
	return false
}

// Guards against tokens that are lost with an answer: an unanswered ask is repeated.
func TestAskIsAnswered(t *testing.T) {
	a, _ := newExchange(t, "a")
	b, handler := newExchange(t, "b")
	a.SetMembers([]Member{{Name: "b", Incarnation: 1, Address: b.self.Address}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	g, err := a.RequestTokens(ctx, "b", Ask{Organisation: 1, Tokens: 5})
	assert.NilError(t, err)
	assert.Assert(t, g.Granted && g.Level == 5)
	handler.mu.Lock()
	assert.Assert(t, handler.asks >= 1)
	handler.mu.Unlock()
	_, err = a.RequestTokens(ctx, "nobody", Ask{})
	assert.ErrorIs(t, err, ErrUnanswered)
	a.deliverGrant(Grant{ID: 7})
}

// Guards against an instance that leads, acts as a hub or sends reports before it knows the members of
// its fleet.
func TestNoHubsWhileFleetSizeIsUnknown(t *testing.T) {
	x := newFleetExchange(t, 10)
	read := false
	x.SetHasSynced(func() bool { return read })
	x.selection.at = 0
	assert.Equal(t, x.Size(), Size{})
	assert.Equal(t, x.Size().String(), "unknown")
	assert.Equal(t, x.Size().PerInstance(9), 0.0)
	assert.Equal(t, len(x.Hubs()), 0)
	assert.Assert(t, !x.IsHub() && x.Rank("s") > 0)
	assert.Equal(t, x.newReport(boottime.Now()).Instances, 0)
	x.send(true)
	for _, p := range x.peers {
		assert.Equal(t, p.unansweredSince, time.Duration(0), "a report was sent")
	}
	x.recordFleetState(boottime.Now(), &Report{Instance: "i1", Incarnation: 1, Answer: true})
	assert.Equal(t, len(x.reportedSizes), 0, "an unknown size of the sender was recorded")
	read = true
	x.selection.at = 0
	assert.Equal(t, x.Size(), SizeOf(10))
	assert.Assert(t, x.IsHub())
	assert.Equal(t, x.newReport(boottime.Now()).Instances, 10)
}
