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

// network is a fake UDP network of protocol state machines in virtual time, in
// steps of a millisecond. Every packet passes the real codec.
type network struct {
	now      time.Time
	rng      *rand.Rand
	codec    codec
	nodes    []*simNode
	byAddr   map[string]*simNode
	queue    map[int64][]event // by the millisecond it is due
	loss     float64
	side     func(*simNode) int
	bytes    int
	observer func(*simNode, gossip.Events)
}

type simNode struct {
	name, address string
	node          *gossip.Node
	up, paused    bool
	held          []event
	run           int
	renewals      []gossip.IncarnationChange
	behind        uint64
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

func newNetwork(seed uint64, count int) *network {
	w := &network{
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
		w.nodes = append(w.nodes, s)
		w.byAddr[s.address] = s
		w.start(s)
	}
	return w
}

// start begins a new run of an instance at its address, at times with a clock that
// is behind that of the earlier run.
func (w *network) start(s *simNode) {
	s.run++
	s.up, s.paused, s.held = true, false, nil
	incarnation := uint64(w.now.UnixMilli() + int64(s.run))
	if s.run%3 == 2 {
		incarnation -= 60_000
	}
	var seeds []string
	for _, peer := range w.nodes[:min(simSeeds, len(w.nodes))] {
		seeds = append(seeds, peer.address)
	}
	s.node = gossip.NewNode(gossip.Config{
		Self: gossip.Record{
			Name: s.name, Incarnation: incarnation,
			Address: s.address, OperatorAddress: s.address, DataCentre: "waco-north",
		},
		Seeds: seeds,
	}, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(s.run))), w.now)
	w.schedule(w.rng.Int64N(tickInterval.Milliseconds()), event{to: s, run: s.run})
}

func (w *network) stop(s *simNode)  { s.up = false }
func (w *network) pause(s *simNode) { s.paused = true }

// resume delivers what the socket buffered during the pause.
func (w *network) resume(s *simNode) {
	for _, e := range s.held {
		w.schedule(1, e)
	}
	s.paused, s.held = false, nil
}

func (w *network) leave(s *simNode) {
	w.transmit(s, s.node.Leave(w.now))
	w.notice(s)
	w.stop(s)
}

func (w *network) schedule(milliseconds int64, e event) {
	at := w.now.UnixMilli() + max(1, milliseconds)
	w.queue[at] = append(w.queue[at], e)
}

func (w *network) run(d time.Duration) {
	for range d.Milliseconds() {
		w.now = w.now.Add(time.Millisecond)
		due := w.queue[w.now.UnixMilli()]
		delete(w.queue, w.now.UnixMilli())
		for _, e := range due {
			w.deliver(e)
		}
	}
}

// runUntil runs in small steps until the condition holds and returns the time it
// took, or the limit.
func (w *network) runUntil(limit time.Duration, done func() bool) time.Duration {
	begun := w.now
	for !done() && w.now.Sub(begun) < limit {
		w.run(tickInterval)
	}
	return w.now.Sub(begun)
}

func (w *network) deliver(e event) {
	s := e.to
	if !s.up || e.run != s.run && e.datagram == nil {
		return
	}
	if s.paused {
		s.held = append(s.held, e)
		return
	}
	if e.datagram == nil {
		w.transmit(s, s.node.Tick(w.now))
		w.schedule(tickInterval.Milliseconds(), event{to: s, run: s.run})
	} else if packet, err := w.codec.decode(e.datagram); err == nil {
		w.transmit(s, s.node.Receive(w.now, e.from, packet))
	}
	w.notice(s)
}

func (w *network) notice(s *simNode) {
	events := s.node.TakeEvents()
	if events.NewIncarnation != nil {
		s.renewals = append(s.renewals, *events.NewIncarnation)
	}
	if events.NewerConfig != nil {
		s.behind = events.NewerConfig.Version
	}
	if w.observer != nil {
		w.observer(s, events)
	}
}

func (w *network) transmit(from *simNode, packets []gossip.Outgoing) {
	for _, out := range packets {
		datagram, err := w.codec.encode(out.Packet)
		if err != nil {
			panic(err)
		}
		w.bytes += len(datagram) + headerBytes
		to, known := w.byAddr[out.To]
		if !known || w.rng.Float64() < w.loss || (w.side != nil && w.side(from) != w.side(to)) {
			continue
		}
		w.schedule(1+w.rng.Int64N(3), event{to: to, from: from.address, datagram: datagram})
	}
}

// view is what a node believes, without what may lag: suspicions and versions.
func view(n *gossip.Node) string {
	var v strings.Builder
	for _, r := range n.All() {
		ended := r.State.Terminal()
		fmt.Fprintln(&v, r.Name, r.Incarnation, ended, r.Draining && !ended)
	}
	return v.String()
}

func (w *network) live() []*simNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(s *simNode) bool { return !s.up })
}

// converged reports whether all running nodes hold the same view and each is
// alive in it.
func (w *network) converged() bool {
	live := w.live()
	digest := live[0].node.Digest()
	differs := slices.ContainsFunc(live, func(s *simNode) bool { return s.node.Digest() != digest })
	return !differs && w.membersSeen(live[0]) == len(live)
}

// membersSeen is the number of members that are not terminal at a node.
func (w *network) membersSeen(s *simNode) int {
	return len(slices.DeleteFunc(s.node.All(), func(r gossip.Record) bool { return r.State.Terminal() }))
}

func (w *network) stateAt(observer, of *simNode) gossip.State {
	all := observer.node.All()
	i := slices.IndexFunc(all, func(r gossip.Record) bool { return r.Name == of.name })
	return all[i].State
}

// everyone reports whether the condition holds of the view each running node
// other than the subject has of it.
func (w *network) everyone(subject *simNode, holds func(gossip.State) bool) bool {
	return !slices.ContainsFunc(w.live(), func(s *simNode) bool {
		return s != subject && !holds(w.stateAt(s, subject))
	})
}

// spreadVersion gives one node a version and runs until all others know of it.
func (w *network) spreadVersion(node int, version uint64) time.Duration {
	w.nodes[node].node.SetConfigVersion(version)
	return w.runUntil(time.Minute, func() bool {
		return !slices.ContainsFunc(w.live(), func(s *simNode) bool {
			return s != w.nodes[node] && s.behind < version
		})
	})
}

// formed returns a network whose members all know one another.
func formed(tb testing.TB, seed uint64, count int) *network {
	tb.Helper()
	w := newNetwork(seed, count)
	w.settle(tb, 2*time.Minute)
	return w
}

// settle runs until the views are equal and fails if they aren't by the limit.
func (w *network) settle(tb testing.TB, limit time.Duration) time.Duration {
	tb.Helper()
	took := w.runUntil(limit, w.converged)
	if !w.converged() {
		tb.Fatalf("views of %d members differ after %v", len(w.nodes), took)
	}
	return took
}
