package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/membership/gossip"
)

// network is a fake UDP network of protocol state machines in virtual time. Every
// packet passes the real codec.
type network struct {
	now      time.Time
	rng      *rand.Rand
	codec    codec
	nodes    []*simNode
	byAddr   map[string]*simNode
	queue    events
	loss     float64
	side     func(*simNode) int
	bytes    int
	kinds    map[gossip.Kind]int
	packets  int
	observer func(*simNode, gossip.Events)
}

type simNode struct {
	name, address string
	node          *gossip.Node
	up, paused    bool
	held          []event
	run           int
	renewals      []gossip.Renewal
	behind        uint64
}

type event struct {
	at       time.Time
	order    int
	to       *simNode
	run      int
	from     string
	datagram []byte // nil for a tick
}

type events struct {
	items []event
	count int
}

func (e *events) Len() int { return len(e.items) }
func (e *events) Less(i, j int) bool {
	if !e.items[i].at.Equal(e.items[j].at) {
		return e.items[i].at.Before(e.items[j].at)
	}
	return e.items[i].order < e.items[j].order
}
func (e *events) Swap(i, j int) { e.items[i], e.items[j] = e.items[j], e.items[i] }
func (e *events) Push(x any)    { e.items = append(e.items, x.(event)) }
func (e *events) Pop() any {
	last := e.items[len(e.items)-1]
	e.items = e.items[:len(e.items)-1]
	return last
}

const (
	simIncarnation = 1_764_700_000_000 // milliseconds since 1970, as in production
	simSeeds       = 3
)

func newNetwork(seed uint64, count int) *network {
	w := &network{
		now:    time.UnixMilli(simIncarnation),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		codec:  codec{secret: []byte("0123456789abcdef")},
		byAddr: make(map[string]*simNode),
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

// start begins a new run of an instance at its address.
func (w *network) start(s *simNode) {
	s.run++
	s.up, s.paused, s.held = true, false, nil
	var seeds []string
	for _, peer := range w.nodes[:min(simSeeds, len(w.nodes))] {
		seeds = append(seeds, peer.address)
	}
	s.node = gossip.NewNode(gossip.Config{
		Self: gossip.Record{
			Name: s.name, Incarnation: uint64(w.now.UnixMilli()) + uint64(s.run),
			Address: s.address, OperatorAddress: s.address, DataCentre: "waco-north",
		},
		Seeds: seeds,
	}, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(s.run))), w.now)
	w.schedule(event{at: w.now.Add(time.Duration(w.rng.Int64N(int64(tickInterval)))), to: s, run: s.run})
}

func (w *network) stop(s *simNode)  { s.up = false }
func (w *network) pause(s *simNode) { s.paused = true }

// resume delivers what the socket buffered during the pause.
func (w *network) resume(s *simNode) {
	s.paused = false
	for _, e := range s.held {
		e.at = w.now
		w.schedule(e)
	}
	s.held = nil
}

func (w *network) leave(s *simNode) {
	w.transmit(s, s.node.Leave(w.now))
	w.notice(s)
	w.stop(s)
}

func (w *network) schedule(e event) {
	w.queue.count++
	e.order = w.queue.count
	heap.Push(&w.queue, e)
}

func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.items[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.deliver(e)
	}
	w.now = end
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
		w.schedule(event{at: w.now.Add(tickInterval), to: s, run: s.run})
	} else if packet, err := w.codec.decode(e.datagram); err == nil {
		w.transmit(s, s.node.Receive(w.now, e.from, packet))
	}
	w.notice(s)
}

func (w *network) notice(s *simNode) {
	events := s.node.Take()
	if events.Renewed != nil {
		s.renewals = append(s.renewals, *events.Renewed)
	}
	if events.Behind != nil {
		s.behind = events.Behind.Version
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
		w.packets++
		if w.kinds != nil {
			w.kinds[out.Packet.Kind] += len(datagram) + headerBytes
			if len(out.Packet.Records) > 0 {
				w.kinds[out.Packet.Kind+100] += len(out.Packet.Records)
			}
		}
		to, known := w.byAddr[out.To]
		if !known || w.rng.Float64() < w.loss || (w.side != nil && w.side(from) != w.side(to)) {
			continue
		}
		latency := time.Duration(300+w.rng.IntN(700)) * time.Microsecond
		w.schedule(event{at: w.now.Add(latency), to: to, from: from.address, datagram: datagram})
	}
}

// view is what a node believes, without what may lag: suspicions and versions.
func view(n *gossip.Node) map[string]string {
	v := make(map[string]string)
	for _, r := range n.All() {
		state := r.State
		if state == gossip.Suspect {
			state = gossip.Alive
		}
		seq := r.Seq
		if state.Terminal() {
			seq = 0
		}
		v[r.Name] = fmt.Sprint(r.Incarnation, state, seq, r.Draining && !state.Terminal())
	}
	return v
}

func (w *network) live() []*simNode {
	var live []*simNode
	for _, s := range w.nodes {
		if s.up {
			live = append(live, s)
		}
	}
	return live
}

// converged reports whether all running nodes hold the same view and each is
// alive in it.
func (w *network) converged() bool {
	live := w.live()
	for _, s := range live {
		if s.node.Digest() != live[0].node.Digest() {
			return false
		}
	}
	return w.membersSeen(live[0]) == len(live)
}

// membersSeen is the number of members that are not terminal at a node.
func (w *network) membersSeen(s *simNode) int {
	count := 0
	for _, r := range s.node.All() {
		if !r.State.Terminal() {
			count++
		}
	}
	return count
}

func (w *network) stateAt(observer, of *simNode) gossip.State {
	for _, r := range observer.node.All() {
		if r.Name == of.name {
			return r.State
		}
	}
	return 0
}

// everyone reports whether the condition holds of the view each running node
// other than the subject has of it.
func (w *network) everyone(subject *simNode, holds func(gossip.State) bool) bool {
	for _, s := range w.live() {
		if s != subject && !holds(w.stateAt(s, subject)) {
			return false
		}
	}
	return true
}

// formed returns a network whose members all know one another.
func formed(tb testing.TB, seed uint64, count int) *network {
	tb.Helper()
	w := newNetwork(seed, count)
	w.runUntil(2*time.Minute, w.converged)
	if !w.converged() {
		tb.Fatalf("%d members did not find one another", count)
	}
	return w
}
