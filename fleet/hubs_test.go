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

// fleetOf returns an exchange that knows a fleet of a size, itself included.
func fleetOf(t *testing.T, size int) *Exchange {
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

// Guards against reports from each to each in a large fleet.
func TestLargeFleetReportsToItsStrongestMachines(t *testing.T) {
	x := fleetOf(t, 100)
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
	assert.Equal(t, len(fleetOf(t, hub.MaxFullMesh).Hubs()), hub.MaxFullMesh)
}

// Guards against a dead hub that an instance goes on asking.
func TestSilentHubIsReplaced(t *testing.T) {
	x := fleetOf(t, 100)
	now := boottime.Now()
	first := x.choose(now).hubs[0]
	p := x.peers[first.Name]
	x.write(now, p, nil)
	assert.Assert(t, contains(x.choose(now+hubSilence), first.Name))
	gone := now + hubSilence + 2*choiceAge
	assert.Assert(t, !contains(x.choose(gone), first.Name))
	assert.Equal(t, len(x.choose(gone).hubs), hub.Hubs)
	// Another hub's word gives it a chance again, after a while.
	x.vouch(gone, first)
	assert.Assert(t, !contains(x.choose(gone+2*choiceAge), first.Name))
	x.vouch(gone+vouchAfter, first)
	assert.Assert(t, contains(x.choose(gone+vouchAfter), first.Name))
	x.Suspect(first.Name)
	assert.Assert(t, !contains(x.choose(boottime.Now()), first.Name))
}

// Guards against work for an instance that is about to stop.
func TestLeavingInstanceIsNoHub(t *testing.T) {
	x := fleetOf(t, 10)
	x.awake = boottime.Now()
	x.note(x.awake, &Report{Instance: "i3", Incarnation: 1, Leaving: true})
	assert.Assert(t, !contains(x.choose(x.awake), "i3"))
	assert.Assert(t, contains(x.choose(x.awake), "self"))
	x.Leave()
	assert.Assert(t, !contains(x.choose(x.awake), "self"))
}

// Guards against an instance that takes its part of the rates for larger than it is, since it
// hears only some of the fleet.
func TestSizeOfTheFleetIsTold(t *testing.T) {
	x := fleetOf(t, 20)
	now := boottime.Now()
	x.note(now, &Report{Instance: "i3", Incarnation: 1, Answer: true, Instances: 295})
	x.note(now, &Report{Instance: "i4", Incarnation: 1, Answer: true, Instances: 290})
	x.chosen.at = 0
	assert.Equal(t, x.choose(now).size, SizeOf(295))
	// While nobody is heard the last word holds.
	assert.Equal(t, x.choose(now+time.Minute).size, SizeOf(295))
	x.last[RunOf("i3", 1)] = lastReport{at: now + time.Hour}
	assert.Equal(t, x.choose(now+time.Hour).size, SizeOf(20))
}

// Guards against an instance that is cut off and never tries its fleet again.
func TestCutOffInstanceTriesAgain(t *testing.T) {
	x := fleetOf(t, 40)
	now := boottime.Now()
	for _, p := range x.peers {
		x.write(now, p, nil)
	}
	later := now + hubSilence + time.Second
	assert.Equal(t, len(x.choose(later).hubs), 1)
	x.forgive()
	assert.Equal(t, len(x.choose(later).hubs), hub.Hubs)
}

// Guards against instances that never meet: one knows no hub but a weak instance, which tells it
// of the better ones that it has heard of.
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
			// Each knows one of those that started before.
			before := exchanges[i/2].self
			m.RecordReport(before)
		}
		exchanges = append(exchanges, x)
	}
	for _, x := range exchanges {
		go func() { _ = x.Run(ctx) }()
	}
	met := func() bool {
		want := digest(exchanges[0].choose(boottime.Now()).hubs)
		for _, x := range exchanges {
			n, _ := x.Size().Instances()
			if digest(x.choose(boottime.Now()).hubs) != want || n < len(exchanges) {
				return false
			}
		}
		return true
	}
	for !met() {
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a fleet that has lost power and takes runs that have ended for settled ones, so
// that each reports to other hubs for many seconds.
func TestRestartedFleetChoosesTheSameHubs(t *testing.T) {
	x := fleetOf(t, 100)
	now := boottime.Now()
	before := digest(x.choose(now).hubs)
	x.self.Incarnation = NewIncarnation(time.Now())
	for i, m := range x.choose(now).hubs {
		if i%2 == 0 {
			m.Incarnation = x.self.Incarnation + 1
			p := x.peers[m.Name]
			p.Member, p.run = m, RunOf(m.Name, m.Incarnation)
			x.last[p.run] = lastReport{sequence: 1, at: now}
		}
	}
	x.chosen.at = 0
	assert.Equal(t, digest(x.choose(now).hubs), before)
}

func contains(c choice, name string) bool {
	for _, m := range c.hubs {
		if m.Name == name {
			return true
		}
	}
	return false
}

// Guards against tokens that are lost with an answer: the ask is repeated and taken once.
func TestAskIsAnswered(t *testing.T) {
	a, _ := newExchange(t, "a")
	b, asked := newExchange(t, "b")
	a.SetMembers([]Member{{Name: "b", Incarnation: 1, Address: b.self.Address}})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = a.Run(ctx) }()
	go func() { _ = b.Run(ctx) }()
	g, err := a.Ask(ctx, "b", Ask{Organisation: 1, Tokens: 5})
	assert.NilError(t, err)
	assert.Assert(t, g.Granted && g.Level == 5)
	asked.mu.Lock()
	assert.Assert(t, asked.asked >= 1)
	asked.mu.Unlock()
	_, err = a.Ask(ctx, "nobody", Ask{})
	assert.ErrorIs(t, err, ErrUnanswered)
	a.granted(Grant{ID: 7})
}

// Guards against an instance that leads, is a hub, or reports before it knows who is in its fleet.
func TestUnknownFleetHasNoHubs(t *testing.T) {
	x := fleetOf(t, 10)
	read := false
	x.SetHasSynced(func() bool { return read })
	x.chosen.at = 0
	assert.Equal(t, x.Size(), Size{})
	assert.Equal(t, x.Size().String(), "unknown")
	assert.Equal(t, x.Size().PerInstance(9), 0.0)
	assert.Equal(t, len(x.Hubs()), 0)
	assert.Assert(t, !x.IsHub() && x.Rank("s") > 0)
	assert.Equal(t, x.begin(boottime.Now()).Instances, 0)
	x.send(true)
	for _, p := range x.peers {
		assert.Equal(t, p.unanswered, time.Duration(0), "a report was sent")
	}
	x.note(boottime.Now(), &Report{Instance: "i1", Incarnation: 1, Answer: true})
	assert.Equal(t, len(x.told), 0, "a size that the sender does not know counts")
	read = true
	x.chosen.at = 0
	assert.Equal(t, x.Size(), SizeOf(10))
	assert.Assert(t, x.IsHub())
	assert.Equal(t, x.begin(boottime.Now()).Instances, 10)
}
