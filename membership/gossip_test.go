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

// failOnReturn fails the test if a node considers an incarnation alive that it already knew
// as dead or left.
func failOnReturn(t *testing.T, sim *simNetwork) {
	type key struct {
		observer *simNode
		run      int
		name     string
	}
	terminal := make(map[key]uint64)
	sim.onEvents = func(s *simNode, e gossip.Events) {
		if !e.RecordsUpdated {
			return
		}
		for _, r := range s.node.All() {
			k := key{s, s.run, r.Name}
			if r.State.Terminal() {
				terminal[k] = max(terminal[k], r.Incarnation)
			} else if r.Incarnation <= terminal[k] {
				t.Fatalf("%s considers %s alive with incarnation %d after incarnation %d ended", s.name, r.Name, r.Incarnation, terminal[k])
			}
		}
	}
}

// Instances crash, pause, leave, restart at their address and are partitioned in random order
// while up to a fifth of the packets is lost. If views did not converge, two instances could
// both act as home of a service; an incarnation that returned would use grants that others
// hold.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(14) {
		count, faults := 9, 30
		if seed == 7 {
			count, faults = 40, 12
		}
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newConverged(t, seed, count)
			failOnReturn(t, sim)
			rng := rand.New(rand.NewPCG(seed, 2))
			for range faults {
				injectFault(sim, rng)
				sim.run(time.Duration(rng.IntN(4000)) * time.Millisecond)
			}
			endFaults(sim)
			sim.waitConverged(t, 2*time.Minute)
			for _, s := range sim.nodes {
				assert.Equal(t, view(s.node), view(sim.nodes[0].node))
			}
		})
	}
}

// injectFault applies one random fault or ends one.
func injectFault(sim *simNetwork, rng *rand.Rand) {
	s := sim.nodes[rng.IntN(len(sim.nodes))]
	cut := sim.nodes[rng.IntN(len(sim.nodes))].name
	isRunning := s.up && !s.paused
	switch fault := rng.IntN(9); {
	case fault == 0:
		sim.loss = rng.Float64() * 0.2
	case fault == 1:
		sim.partition = func(n *simNode) int { return strings.Compare(n.name, cut) | 1 }
	case fault <= 3:
		sim.partition = nil
	case fault == 4:
		sim.pause(s)
	case fault == 5:
		sim.resume(s)
	case fault == 6 && isRunning:
		sim.leave(s)
	case fault == 7:
		sim.stop(s)
	case !s.up:
		sim.start(s)
	case isRunning:
		s.node.SetDraining(rng.IntN(2) == 0)
	}
}

// endFaults ends all faults and starts all stopped instances.
func endFaults(sim *simNetwork) {
	sim.loss, sim.partition = 0, nil
	for _, s := range sim.nodes {
		if s.paused {
			sim.resume(s)
		}
		if !s.up {
			sim.start(s)
		}
	}
}

// One packet in ten is lost for two minutes. If a live instance were declared dead because of
// that, its running requests would be aborted.
func TestPacketLossCausesNoFalseDeath(t *testing.T) {
	t.Parallel()
	sim := newConverged(t, 1, 9)
	sim.loss = 0.1
	dead := false
	sim.onEvents = func(s *simNode, e gossip.Events) {
		if !e.RecordsUpdated {
			return
		}
		for _, r := range s.node.All() {
			dead = dead || r.State.Terminal()
		}
	}
	sim.run(2 * time.Minute)
	assert.Assert(t, !dead)
}

// An instance crashes without announcing it. Until the others detect the death, they send
// requests to its scheduler; the documented bounds are 3.5 s with 9 members and 5 s with 40.
func TestDeathIsDetectedInTime(t *testing.T) {
	t.Parallel()
	for count, bound := range map[int]time.Duration{9: 3500 * time.Millisecond, 40: 5 * time.Second} {
		for seed := range uint64(2) {
			sim := newConverged(t, seed, count)
			sim.run(10 * time.Second)
			victim := sim.nodes[count/2]
			sim.stop(victim)
			elapsed := sim.runUntil(time.Minute, func() bool { return sim.allObserve(victim, gossip.State.Terminal) })
			assert.Assert(t, elapsed <= bound, "%d members took %v", count, elapsed)
		}
	}
}

// A process is paused for ten seconds and then continues, while its grants were given to
// others. It must learn that it was declared dead, take exactly one new incarnation and notify
// the application; otherwise two instances would use one grant. It was partitioned from the others
// just before the pause and suspects some of them. After the pause its expired timers must not
// make it declare them dead, or they would drop their grants as well.
func TestPausedInstanceReturnsUnderNewIncarnation(t *testing.T) {
	sim := newConverged(t, 3, 9)
	failOnReturn(t, sim)
	victim := sim.nodes[4]
	old := victim.node.Self().Incarnation
	sim.partition = func(s *simNode) int { return strings.Compare(s.name, victim.name) & 1 }
	suspects := func() bool {
		return slices.ContainsFunc(victim.node.All(), func(r gossip.Record) bool { return r.State == gossip.Suspect })
	}
	sim.runUntil(10*time.Second, suspects)
	assert.Assert(t, suspects())
	sim.pause(victim)
	sim.run(10 * time.Second)
	sim.partition = nil
	assert.Assert(t, sim.allObserve(victim, gossip.State.Terminal))
	sim.resume(victim)
	sim.waitConverged(t, time.Minute)
	assert.Equal(t, len(victim.incarnationChanges), 1)
	assert.Equal(t, victim.incarnationChanges[0].Old, old)
	assert.Assert(t, victim.node.Self().Incarnation > old)
	for _, s := range sim.nodes {
		assert.Equal(t, len(s.incarnationChanges) == 1, s == victim)
	}
}

// A fleet is partitioned into two halves for some minutes, and each half continues alone. If
// members did not ping those that they consider dead, the halves would never merge again.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for count, apart := range map[int]time.Duration{9: 10 * time.Minute, 40: time.Minute} {
		sim := newConverged(t, 5, count)
		failOnReturn(t, sim)
		half := sim.nodes[count/2].name
		sim.partition = func(s *simNode) int { return strings.Compare(s.name, half) | 1 }
		sim.run(apart)
		assert.Equal(t, sim.liveMembersAt(sim.nodes[0]), count/2)
		assert.Equal(t, sim.liveMembersAt(sim.nodes[count-1]), count-count/2)
		sim.partition = nil
		sim.waitConverged(t, time.Minute)
	}
}

// An instance crashes and is restarted at the same address before any member detects it. The
// new run must not inherit the grants of the old one, which it does not know of, so all members
// must see a higher incarnation. The clock of the second run is a minute behind that of the
// first; with a lower incarnation it would be considered dead by all members.
func TestRestartAtSameAddressUsesHigherIncarnation(t *testing.T) {
	sim := newConverged(t, 7, 9)
	failOnReturn(t, sim)
	s := sim.nodes[6]
	old := s.node.Self().Incarnation
	sim.stop(s)
	sim.run(100 * time.Millisecond)
	sim.start(s)
	sim.waitConverged(t, 10*time.Second)
	for _, peer := range sim.nodes {
		for _, r := range peer.node.All() {
			assert.Assert(t, r.Name != s.name || r.Incarnation > old)
		}
	}
}

// The configured seeds are gone and the platform's list is stale: most of its entries are dead.
// An instance that gave up on joining would serve alone, with its own rates and queues.
func TestInstanceJoinsThroughStaleList(t *testing.T) {
	sim := newSimNetwork(9, 9)
	joiner := sim.nodes[8]
	sim.stop(joiner)
	sim.waitConverged(t, time.Minute)
	for _, s := range sim.nodes[:simSeeds] {
		sim.stop(s)
	}
	sim.run(10 * time.Second)
	sim.start(joiner)
	sim.run(5 * time.Second)
	assert.Equal(t, sim.liveMembersAt(joiner), 1)
	joiner.node.SetHints([]string{sim.nodes[0].address, "10.9.9.9:7070", sim.nodes[5].address})
	sim.waitConverged(t, time.Minute)
}

// An instance shuts down gracefully. All members must know within a second so that its keys move
// without waiting for a timeout, and a later suspicion must not change its state.
func TestLeaveSpreadsWithinOneSecond(t *testing.T) {
	sim := newConverged(t, 10, 9)
	sim.run(10 * time.Second)
	s := sim.nodes[2]
	sim.leave(s)
	elapsed := sim.runUntil(time.Minute, func() bool {
		return sim.allObserve(s, func(state gossip.State) bool { return state == gossip.Left })
	})
	assert.Assert(t, elapsed <= time.Second, "%v", elapsed)
	sim.run(time.Minute)
	assert.Assert(t, sim.allObserve(s, func(state gossip.State) bool { return state == gossip.Left }))
}

// The log is down and only one instance has the configuration that withdraws a key. The others
// would continue to admit the key if they did not learn which instance has the newer version.
func TestHighestVersionSpreads(t *testing.T) {
	sim := newConverged(t, 11, 40)
	elapsed := sim.spreadVersion(17, 391)
	assert.Assert(t, elapsed <= time.Second, "%v", elapsed)
}

// All members remove the record of a dead instance at about the same time, by default after a
// day. If a removed record were spread again by another member, tables would grow with each
// replaced instance until they no longer fit into packets.
func TestDeadRecordsExpire(t *testing.T) {
	t.Parallel()
	sim := newSimNetwork(12, 9)
	for _, s := range sim.nodes {
		sim.run(6 * time.Second)
		s.node = gossip.NewNode(gossip.Config{
			Self:      s.node.Self(),
			Seeds:     []string{sim.nodes[0].address},
			Retention: 2 * time.Minute,
		}, rand.New(rand.NewPCG(1, uint64(sim.now.UnixMilli()))), sim.now)
	}
	sim.waitConverged(t, time.Minute)
	sim.stop(sim.nodes[3])
	sim.run(30 * time.Second)
	assert.Assert(t, sim.allObserve(sim.nodes[3], gossip.State.Terminal))
	sim.run(5 * time.Minute)
	for _, s := range sim.running() {
		assert.Equal(t, len(s.node.All()), 8)
	}
}
