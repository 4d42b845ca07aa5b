package gossip

import (
	"math/rand/v2"
	"time"
)

// Node holds the protocol state of one instance. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	self     Record
	members  map[string]*member
	hints    []string
	outgoing []Outgoing
	events   Events
	lastTick time.Time

	probe           probeState
	relays          map[uint32]relayedPing
	lastProbeNumber uint32
	nextProbeRound  time.Time
	nextReconnect   time.Time
	lastMemberLoss  time.Time
	probeOrder      []string
	updates         updateQueue
	digest          tableDigest
	cachedIndex     *index
	sync            syncState
	newerConfig     newerConfigState
	nextExpiry      time.Time
}

type member struct {
	Record
	// since is when this node first had the record in its current state; for terminal
	// states, it is when the state was declared.
	since time.Time
	// ownProbeFailed is set when this node's own probe of the suspect got no answer.
	ownProbeFailed bool
	nextPing       time.Time
}

// Events are the changes since the last call of TakeEvents that the application, the code
// that runs the Node, must handle.
type Events struct {
	// RecordsUpdated is set when any record changed, even if only its configuration
	// version.
	RecordsUpdated bool
	// MembersChanged is set when the set of members or the draining state of a member
	// changed.
	MembersChanged bool
	// NewIncarnation is set when this instance was declared dead and took a new
	// incarnation. Everything granted to the old one is lost.
	NewIncarnation *IncarnationChange
	// NewerConfig is set when a member has a higher configuration version.
	NewerConfig *NewerConfig
}

// IncarnationChange describes a change of this instance's incarnation.
type IncarnationChange struct {
	Old, New uint64
}

// NewerConfig names a member with a higher configuration version.
type NewerConfig struct {
	Peer    Record
	Version uint64
}

// NewNode returns the state of an instance that knows no other members yet. The same
// seed of rng and the same inputs give the same packets.
func NewNode(cfg Config, rng *rand.Rand, now time.Time) *Node {
	cfg = cfg.withDefaults()
	self := cfg.Self
	self.State = Alive
	self.Seq = 1
	n := &Node{
		cfg:             cfg,
		rng:             rng,
		self:            self,
		members:         make(map[string]*member),
		relays:          make(map[uint32]relayedPing),
		lastProbeNumber: rng.Uint32(),
		nextProbeRound:  now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval)))),
		nextReconnect:   now,
		lastMemberLoss:  now,
		lastTick:        now,
	}
	n.updates = newUpdateQueue(now)
	n.sync = newSyncState(now)
	n.digest.add(self)
	n.queueUpdate(self.Name)
	return n
}

// Tick advances the protocol to now and returns the packets to send. It must be called
// about every 50 ms, which is the resolution of the timeouts.
func (n *Node) Tick(now time.Time) []Outgoing {
	if now.Sub(n.lastTick) >= pauseThreshold {
		n.resetAfterPause(now)
	}
	n.lastTick = now
	if n.self.State.Terminal() {
		return nil
	}
	n.checkProbeTimeout(now)
	if !now.Before(n.nextProbeRound) {
		n.startProbeRound(now)
	}
	n.checkSuspects(now)
	n.reconnect(now)
	n.removeExpired(now)
	n.checkNewerConfig(now)
	n.pushUrgentUpdates(now)
	return n.flush()
}

// resetAfterPause restarts all suspicion timeouts and drops the pending probes after a
// pause of this process. The timeouts elapsed while it could not read any answers;
// without the reset it would declare the whole fleet dead, and all peers would take new
// incarnations.
func (n *Node) resetAfterPause(now time.Time) {
	if now.Sub(n.lastTick) >= n.cfg.Retention/2 {
		// Peers may already have removed the record in which they declared this
		// incarnation dead.
		n.startNewIncarnation(n.self.Incarnation)
	}
	n.probe = probeState{}
	clear(n.relays)
	for _, m := range n.members {
		if m.State == Suspect {
			m.since = now
		}
	}
}

// Receive handles one packet received from an address and returns the packets to send.
func (n *Node) Receive(now time.Time, from string, p Packet) []Outgoing {
	if p.From == n.self.Name && p.Incarnation == n.self.Incarnation {
		return nil
	}
	if p.Kind == SyncPage {
		n.mergeSyncPage(now, p.Records)
	} else {
		n.mergeUpdates(now, p.Records)
	}
	n.updateSenderVersion(p)
	n.updateHighestVersion(p)
	switch p.Kind {
	case Ping:
		n.handlePing(now, from, p)
	case Ack:
		n.handleAck(now, p)
	case RelayedAck:
		n.handleRelayedAck(now, p)
	case PingRequest:
		n.handlePingRequest(now, from, p)
	case SyncRequest:
		n.handleSyncRequest(now, from, p)
	}
	n.maybeRequestSync(now, from, p)
	return n.flush()
}

// updateSenderVersion records the configuration version that the sender of a packet
// reports for itself.
func (n *Node) updateSenderVersion(p Packet) {
	m, ok := n.members[p.From]
	if ok && m.Incarnation == p.Incarnation {
		n.raiseVersion(m, p.ConfigVersion)
	}
}

func (n *Node) raiseVersion(m *member, version uint64) {
	if version > m.ConfigVersion {
		m.ConfigVersion = version
		n.markUpdated()
	}
}

// send fills in the header fields of a packet and queues it.
func (n *Node) send(to string, p Packet) {
	p.From = n.self.Name
	p.Incarnation = n.self.Incarnation
	p.ConfigVersion = n.self.ConfigVersion
	p.Digest = n.digest.value()
	p.Count = uint32(len(n.members) + 1)
	p.HighestVersion, p.HighestHolder = n.index().highestVersion, n.index().highestHolder
	n.outgoing = append(n.outgoing, Outgoing{To: to, Packet: p})
}

// flush returns the queued packets and empties the queue.
func (n *Node) flush() []Outgoing {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// removeExpired removes terminal records after their retention.
func (n *Node) removeExpired(now time.Time) {
	if now.Before(n.nextExpiry) {
		return
	}
	n.nextExpiry = now.Add(time.Minute)
	for name, m := range n.members {
		if m.State.Terminal() && now.Sub(m.since) >= n.cfg.Retention {
			n.digest.remove(m.Record)
			delete(n.members, name)
			n.markUpdated()
		}
	}
}
