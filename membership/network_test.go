package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// simNetwork simulates a UDP network of gossip nodes in virtual time, in steps of a
// millisecond. Every packet passes through the real codec.
type simNetwork struct {
	now       time.Time
	rng       *rand.Rand
	codec     codec
	nodes     []*simNode
	byAddr    map[string]*simNode
	queue     map[int64][]event // by due time in milliseconds
	loss      float64
	partition func(*simNode) int
	bytes     int
	onEvents  func(*simNode, gossip.Events)
}

type simNode struct {
	name, address      string
	node               *gossip.Node
	up, paused         bool
	buffered           []event
	run                int
	incarnationChanges []gossip.IncarnationChange
	newerVersion       uint64
}

type event struct {
	to       *simNode
	run      int
	from     string
	datagram []byte // nil for a tick
}

const (
	simIncarnation = 1_764_700_000_000 // milliseconds since 1970, as in production
	simSeeds       = 3
)

func newSimNetwork(seed uint64, count int) *simNetwork {
	sim := &simNetwork{
		now:    time.UnixMilli(simIncarnation),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		codec:  codec{secrets: [][]byte{[]byte("0123456789abcdef")}},
		byAddr: make(map[string]*simNode),
		queue:  make(map[int64][]event),
	}
	for i := range count {
		s := &simNode{
			name:    fmt.Sprintf("entry-%03d", i),
			address: fmt.Sprintf("10.0.%d.%d:7070", i/250, i%250+1),
		}
		sim.nodes = append(sim.nodes, s)
		sim.byAddr[s.address] = s
		sim.start(s)
	}
	return sim
}

// start begins a new run of an instance at its address. In every third run, from the second,
// its clock is a minute behind.
func (sim *simNetwork) start(s *simNode) {
	s.run++
	s.up, s.paused, s.buffered = true, false, nil
	incarnation := uint64(sim.now.UnixMilli() + int64(s.run))
	if s.run%3 == 2 {
		incarnation -= 60_000
	}
	var seeds []string
	for _, peer := range sim.nodes[:min(simSeeds, len(sim.nodes))] {
		seeds = append(seeds, peer.address)
	}
	s.node = gossip.NewNode(gossip.Config{
		Self: gossip.Record{
			Name: s.name, Incarnation: incarnation,
			Address: s.address, OperatorAddress: s.address, DataCentre: "waco-north",
		},
		Seeds: seeds,
	}, rand.New(rand.NewPCG(sim.rng.Uint64(), uint64(s.run))), sim.now)
	sim.schedule(sim.rng.Int64N(tickInterval.Milliseconds()), event{to: s, run: s.run})
}

func (sim *simNetwork) stop(s *simNode)  { s.up = false }
func (sim *simNetwork) pause(s *simNode) { s.paused = true }

// resume ends a pause and delivers the events buffered during it.
func (sim *simNetwork) resume(s *simNode) {
	for _, e := range s.buffered {
		sim.schedule(1, e)
	}
	s.paused, s.buffered = false, nil
}

func (sim *simNetwork) leave(s *simNode) {
	sim.transmit(s, s.node.Leave(sim.now))
	sim.handleEvents(s)
	sim.stop(s)
}

func (sim *simNetwork) schedule(milliseconds int64, e event) {
	at := sim.now.UnixMilli() + max(1, milliseconds)
	sim.queue[at] = append(sim.queue[at], e)
}

func (sim *simNetwork) run(d time.Duration) {
	for range d.Milliseconds() {
		sim.now = sim.now.Add(time.Millisecond)
		due := sim.queue[sim.now.UnixMilli()]
		delete(sim.queue, sim.now.UnixMilli())
		for _, e := range due {
			sim.deliver(e)
		}
	}
}

// runUntil runs until the condition holds or the limit is reached, and returns the virtual time
// elapsed.
func (sim *simNetwork) runUntil(limit time.Duration, done func() bool) time.Duration {
	start := sim.now
	for !done() && sim.now.Sub(start) < limit {
		sim.run(tickInterval)
	}
	return sim.now.Sub(start)
}

func (sim *simNetwork) deliver(e event) {
	s := e.to
	if !s.up || e.run != s.run && e.datagram == nil {
		return
	}
	if s.paused {
		s.buffered = append(s.buffered, e)
		return
	}
	if e.datagram == nil {
		sim.transmit(s, s.node.Tick(sim.now))
		sim.schedule(tickInterval.Milliseconds(), event{to: s, run: s.run})
	} else if packet, err := sim.codec.decode(e.datagram); err == nil {
		sim.transmit(s, s.node.Receive(sim.now, e.from, packet))
	}
	sim.handleEvents(s)
}

func (sim *simNetwork) handleEvents(s *simNode) {
	events := s.node.TakeEvents()
	if events.NewIncarnation != nil {
		s.incarnationChanges = append(s.incarnationChanges, *events.NewIncarnation)
	}
	if events.NewerConfig != nil {
		s.newerVersion = events.NewerConfig.Version
	}
	if sim.onEvents != nil {
		sim.onEvents(s, events)
	}
}

func (sim *simNetwork) transmit(from *simNode, packets []gossip.Outgoing) {
	for _, out := range packets {
		datagram, err := sim.codec.encode(out.Packet)
		if err != nil {
			panic(err)
		}
		sim.bytes += len(datagram) + datagramOverhead
		to, known := sim.byAddr[out.To]
		if !known || sim.rng.Float64() < sim.loss || (sim.partition != nil && sim.partition(from) != sim.partition(to)) {
			continue
		}
		sim.schedule(1+sim.rng.Int64N(3), event{to: to, from: from.address, datagram: datagram})
	}
}

// view returns the state that a node knows, without suspicions and configuration versions,
// which may lag.
func view(n *gossip.Node) string {
	var v strings.Builder
	for _, r := range n.All() {
		terminal := r.State.Terminal()
		fmt.Fprintln(&v, r.Name, r.Incarnation, terminal, r.Draining && !terminal)
	}
	return v.String()
}

func (sim *simNetwork) running() []*simNode {
	return slices.DeleteFunc(slices.Clone(sim.nodes), func(s *simNode) bool { return !s.up })
}

// converged reports whether all running nodes have the same view and all are alive in it.
func (sim *simNetwork) converged() bool {
	live := sim.running()
	digest := live[0].node.Digest()
	differs := slices.ContainsFunc(live, func(s *simNode) bool { return s.node.Digest() != digest })
	return !differs && sim.liveMembersAt(live[0]) == len(live)
}

// liveMembersAt returns the number of members whose state is not terminal at a node.
func (sim *simNetwork) liveMembersAt(s *simNode) int {
	return len(slices.DeleteFunc(s.node.All(), func(r gossip.Record) bool { return r.State.Terminal() }))
}

func (sim *simNetwork) stateAt(observer, of *simNode) gossip.State {
	all := observer.node.All()
	i := slices.IndexFunc(all, func(r gossip.Record) bool { return r.Name == of.name })
	return all[i].State
}

// allObserve reports whether the condition holds for the state of the subject at all running
// nodes except the subject itself.
func (sim *simNetwork) allObserve(subject *simNode, holds func(gossip.State) bool) bool {
	return !slices.ContainsFunc(sim.running(), func(s *simNode) bool {
		return s != subject && !holds(sim.stateAt(s, subject))
	})
}

// spreadVersion sets the configuration version of one node and returns the virtual time until
// all others know of it.
func (sim *simNetwork) spreadVersion(node int, version uint64) time.Duration {
	sim.nodes[node].node.SetConfigVersion(version)
	return sim.runUntil(time.Minute, func() bool {
		return !slices.ContainsFunc(sim.running(), func(s *simNode) bool {
			return s != sim.nodes[node] && s.newerVersion < version
		})
	})
}

// newConverged returns a network in which all members know each other.
func newConverged(tb testing.TB, seed uint64, count int) *simNetwork {
	tb.Helper()
	sim := newSimNetwork(seed, count)
	sim.waitConverged(tb, 2*time.Minute)
	return sim
}

// waitConverged runs until the views have converged and fails the test at the limit.
func (sim *simNetwork) waitConverged(tb testing.TB, limit time.Duration) time.Duration {
	tb.Helper()
	elapsed := sim.runUntil(limit, sim.converged)
	if !sim.converged() {
		tb.Fatalf("views of %d members differ after %v", len(sim.nodes), elapsed)
	}
	return elapsed
}
