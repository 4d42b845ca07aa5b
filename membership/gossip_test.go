package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// watchReturns fails the test when a node counts an incarnation as alive that it
// had already declared dead or left.
func watchReturns(t *testing.T, w *network) {
	type key struct {
		observer *simNode
		run      int
		name     string
	}
	ended := make(map[key]uint64)
	w.observer = func(s *simNode, e gossip.Events) {
		if !e.RecordsUpdated {
			return
		}
		for _, r := range s.node.All() {
			k := key{s, s.run, r.Name}
			if r.State.Terminal() {
				ended[k] = max(ended[k], r.Incarnation)
			} else if r.Incarnation <= ended[k] {
				t.Fatalf("%s counts %s alive at %d, ended at %d", s.name, r.Name, r.Incarnation, ended[k])
			}
		}
	}
}

// Instances crash, pause, leave, restart at their address and are cut off from one
// another while up to a fifth of the packets is lost, in random order. A view that
// differed for good would leave two instances that both believe to be home of a
// service; an incarnation that came back would use grants that others hold.
func TestViewsConvergeAfterAnyFaults(t *testing.T) {
	for seed := range uint64(14) {
		count, disturbances := 9, 30
		if seed == 7 {
			count, disturbances = 40, 12
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := formed(t, seed, count)
			watchReturns(t, w)
			rng := rand.New(rand.NewPCG(seed, 2))
			for range disturbances {
				disturb(w, rng)
				w.run(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
			repair(w)
			w.settle(t, 2*time.Minute)
			for _, s := range w.nodes {
				assert.Equal(t, view(s.node), view(w.nodes[0].node))
			}
		})
	}
}

// disturb applies one random fault or repair.
func disturb(w *network, rng *rand.Rand) {
	s := w.nodes[rng.IntN(len(w.nodes))]
	cut := w.nodes[rng.IntN(len(w.nodes))].name
	running := s.up && !s.paused
	switch fault := rng.IntN(9); {
	case fault == 0:
		w.loss = rng.Float64() * 0.2
	case fault == 1:
		w.side = func(n *simNode) int { return strings.Compare(n.name, cut) | 1 }
	case fault <= 3:
		w.side = nil
	case fault == 4:
		w.pause(s)
	case fault == 5:
		w.resume(s)
	case fault == 6 && running:
		w.leave(s)
	case fault == 7:
		w.stop(s)
	case !s.up:
		w.start(s)
	case running:
		s.node.SetDraining(rng.IntN(2) == 0)
	}
}

// repair ends all faults and brings every instance up.
func repair(w *network) {
	w.loss, w.side = 0, nil
	for _, s := range w.nodes {
		if s.paused {
			w.resume(s)
		}
		if !s.up {
			w.start(s)
		}
	}
}

// One packet in ten is lost for two minutes. Were a live instance declared dead
// for that, its callers would see their running requests end.
func TestLossKillsNobody(t *testing.T) {
	t.Parallel()
	w := formed(t, 1, 9)
	w.loss = 0.1
	dead := false
	w.observer = func(s *simNode, e gossip.Events) {
		if !e.RecordsUpdated {
			return
		}
		for _, r := range s.node.All() {
			dead = dead || r.State.Terminal()
		}
	}
	w.run(2 * time.Minute)
	assert.Assert(t, !dead)
}

// An instance dies without a word. Until the others notice, requests are sent to a
// scheduler that is gone; the stated bounds are 3.5 s at 9 members and 5 s at 40.
func TestDeathIsNoticed(t *testing.T) {
	t.Parallel()
	for count, bound := range map[int]time.Duration{9: 3500 * time.Millisecond, 40: 5 * time.Second} {
		for seed := range uint64(2) {
			w := formed(t, seed, count)
			w.run(10 * time.Second)
			victim := w.nodes[count/2]
			w.stop(victim)
			took := w.runUntil(time.Minute, func() bool { return w.everyone(victim, gossip.State.Terminal) })
			assert.Assert(t, took <= bound, "%d members took %v", count, took)
		}
	}
}

// A process is paused for ten seconds and goes on as if nothing had happened,
// while its grants were given to others. It must learn of its death, take a new
// incarnation once and tell its owner, or two instances would use one grant. It
// was cut off just before and suspects others; it must not take its own late
// timers for their silence, or they would drop their grants as well.
func TestPausedInstanceReturnsUnderNewIncarnation(t *testing.T) {
	w := formed(t, 3, 9)
	watchReturns(t, w)
	victim := w.nodes[4]
	old := victim.node.Self().Incarnation
	w.side = func(s *simNode) int { return strings.Compare(s.name, victim.name) & 1 }
	suspects := func() bool {
		return slices.ContainsFunc(victim.node.All(), func(r gossip.Record) bool { return r.State == gossip.Suspect })
	}
	w.runUntil(10*time.Second, suspects)
	assert.Assert(t, suspects())
	w.pause(victim)
	w.run(10 * time.Second)
	w.side = nil
	assert.Assert(t, w.everyone(victim, gossip.State.Terminal))
	w.resume(victim)
	w.settle(t, time.Minute)
	assert.Equal(t, len(victim.renewals), 1)
	assert.Equal(t, victim.renewals[0].Old, old)
	assert.Assert(t, victim.node.Self().Incarnation > old)
	for _, s := range w.nodes {
		assert.Equal(t, len(s.renewals) == 1, s == victim)
	}
}

// The two halves of a fleet lose each other for some minutes and find each other
// again. Each half goes on alone; if they didn't speak to members they hold dead,
// they would stay apart for ever.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for count, apart := range map[int]time.Duration{9: 10 * time.Minute, 40: time.Minute} {
		w := formed(t, 5, count)
		watchReturns(t, w)
		half := w.nodes[count/2].name
		w.side = func(s *simNode) int { return strings.Compare(s.name, half) | 1 }
		w.run(apart)
		assert.Equal(t, w.membersSeen(w.nodes[0]), count/2)
		assert.Equal(t, w.membersSeen(w.nodes[count-1]), count-count/2)
		w.side = nil
		w.settle(t, time.Minute)
	}
}

// An instance crashes and is replaced at the same address before anybody noticed.
// The old run's grants must not pass to the new one, which knows nothing of them:
// all members see another, higher incarnation. The second run's clock is a minute
// behind the first's; under a lower incarnation it would stay dead to all.
func TestRestartAtSameAddressIsAnotherIncarnation(t *testing.T) {
	w := formed(t, 7, 9)
	watchReturns(t, w)
	s := w.nodes[6]
	old := s.node.Self().Incarnation
	w.stop(s)
	w.run(100 * time.Millisecond)
	w.start(s)
	w.settle(t, 10*time.Second)
	for _, peer := range w.nodes {
		for _, r := range peer.node.All() {
			assert.Assert(t, r.Name != s.name || r.Incarnation > old)
		}
	}
}

// The seeds of the settings are long gone and the platform's list lags: most of
// its entries are dead. A new instance that gave up on them would serve alone,
// with rates and queues of its own.
func TestJoinsThroughLaggingList(t *testing.T) {
	w := newNetwork(9, 9)
	late := w.nodes[8]
	w.stop(late)
	w.settle(t, time.Minute)
	for _, s := range w.nodes[:simSeeds] {
		w.stop(s)
	}
	w.run(10 * time.Second)
	w.start(late)
	w.run(5 * time.Second)
	assert.Equal(t, w.membersSeen(late), 1)
	late.node.SetHints([]string{w.nodes[0].address, "10.9.9.9:7070", w.nodes[5].address})
	w.settle(t, time.Minute)
}

// An instance leaves in an orderly way. Nobody waits for a timeout to move its
// homes, and a suspicion raised against it changes nothing.
func TestLeaveIsKnownAtOnce(t *testing.T) {
	w := formed(t, 10, 9)
	w.run(10 * time.Second)
	s := w.nodes[2]
	w.leave(s)
	took := w.runUntil(time.Minute, func() bool {
		return w.everyone(s, func(state gossip.State) bool { return state == gossip.Left })
	})
	assert.Assert(t, took <= time.Second, "%v", took)
	w.run(time.Minute)
	assert.Assert(t, w.everyone(s, func(state gossip.State) bool { return state == gossip.Left }))
}

// The log is down and one instance alone learnt of a withdrawn key. The others
// would go on admitting it unless they heard who holds the newer version.
func TestHighestVersionSpreads(t *testing.T) {
	w := formed(t, 11, 40)
	took := w.spreadVersion(17, 391)
	assert.Assert(t, took <= time.Second, "%v", took)
}

// Records of the dead are forgotten after a day at about the same time. Were one
// member to bring back what another forgot, tables would grow with every
// replacement until they no longer fit their packets.
func TestDeadAreForgotten(t *testing.T) {
	t.Parallel()
	w := newNetwork(12, 9)
	for _, s := range w.nodes {
		w.run(6 * time.Second)
		s.node = gossip.NewNode(gossip.Config{
			Self:      s.node.Self(),
			Seeds:     []string{w.nodes[0].address},
			Retention: 2 * time.Minute,
		}, rand.New(rand.NewPCG(1, uint64(w.now.UnixMilli()))), w.now)
	}
	w.settle(t, time.Minute)
	w.stop(w.nodes[3])
	w.run(30 * time.Second)
	assert.Assert(t, w.everyone(w.nodes[3], gossip.State.Terminal))
	w.run(5 * time.Minute)
	for _, s := range w.live() {
		assert.Equal(t, len(s.node.All()), 8)
	}
}
