package gossip

import (
	"math/rand/v2"
	"time"
)

// Node is the protocol state of one instance. It is not safe for concurrent use.
type Node struct {
	cfg      Config
	rng      *rand.Rand
	self     Record
	members  map[string]*member
	hints    []string
	out      []Outgoing
	events   Events
	lastTick time.Time

	probe        probeState
	relays       map[uint32]relay
	nextProbe    uint32
	nextRound    time.Time
	nextContact  time.Time
	lastLoss     time.Time
	rotation     []string
	news         news
	table        table
	derived      *index
	sync         syncState
	behind       behindState
	nextExpiries time.Time
}

type member struct {
	Record
	// since is when the record's state was first held here; for terminal states
	// it is when the state was declared.
	since time.Time
	// ownDoubt is set when this member itself got no answer from a suspect.
	ownDoubt    bool
	nextConfirm time.Time
}

// Events are what the owner must act on since the last call of Take.
type Events struct {
	// Updated is set when any record changed, be it only in its version.
	Updated bool
	// Changed is set when the set of members, or one's draining state, changed.
	Changed bool
	// Renewed is set when this instance was declared dead and took a new
	// incarnation. Everything granted to Old is lost.
	Renewed *Renewal
	// Behind is set when a member holds a higher configuration version.
	Behind *Behind
}

// Renewal is a change of this instance's incarnation.
type Renewal struct {
	Old, New uint64
}

// Behind names a member with a higher configuration version.
type Behind struct {
	Peer    Record
	Version uint64
}

// NewNode returns the state of an instance that knows nobody yet. Equal seeds of
// rng and equal inputs give equal packets.
func NewNode(cfg Config, rng *rand.Rand, now time.Time) *Node {
	cfg = cfg.withDefaults()
	self := cfg.Self
	self.State = Alive
	self.Seq = 1
	n := &Node{
		cfg:         cfg,
		rng:         rng,
		self:        self,
		members:     make(map[string]*member),
		relays:      make(map[uint32]relay),
		nextProbe:   rng.Uint32(),
		nextRound:   now.Add(time.Duration(rng.Int64N(int64(cfg.ProbeInterval)))),
		nextContact: now,
		lastLoss:    now,
		lastTick:    now,
	}
	n.news = newNews(now)
	n.sync = newSyncState(now)
	n.table.add(self)
	n.announce(self.Name)
	return n
}

// Tick advances the protocol to now and returns the packets to send. It is to be
// called every 50 ms or so; timeouts are as fine as its calls.
func (n *Node) Tick(now time.Time) []Outgoing {
	if now.Sub(n.lastTick) >= lateTick {
		n.forgive(now)
	}
	n.lastTick = now
	if n.self.State.Terminal() {
		return nil
	}
	n.expireProbe(now)
	if !now.Before(n.nextRound) {
		n.startRound(now)
	}
	n.tendSuspects(now)
	n.contact(now)
	n.forget(now)
	n.checkBehind(now)
	n.pushUrgent(now)
	return n.flush()
}

// forgive drops every doubt after a pause of this process. Its timers ran out
// while it could not read the answers, so that it would declare the whole fleet
// dead, which its peers would see as a wave of new incarnations.
func (n *Node) forgive(now time.Time) {
	if now.Sub(n.lastTick) >= n.cfg.Retention/2 {
		// Peers may have forgotten that they declared this incarnation dead.
		n.renew(n.self.Incarnation)
	}
	n.probe = probeState{}
	clear(n.relays)
	for _, m := range n.members {
		if m.State == Suspect {
			m.since = now
		}
	}
}

// Receive handles one packet from an address and returns the packets to send.
func (n *Node) Receive(now time.Time, from string, p Packet) []Outgoing {
	if p.From == n.self.Name && p.Incarnation == n.self.Incarnation {
		return nil
	}
	if p.Kind == SyncPage {
		n.mergePage(now, p.Records)
	} else {
		n.mergeNews(now, p.Records)
	}
	n.noteSender(p)
	n.noteHighest(p)
	switch p.Kind {
	case Ping:
		n.reply(now, from, p)
	case Ack:
		n.acknowledge(now, p)
	case RelayedAck:
		n.acknowledgeRelayed(now, p)
	case PingRequest:
		n.relay(now, from, p)
	case SyncRequest:
		n.answerSync(now, from, p)
	}
	n.considerSync(now, from, p)
	return n.flush()
}

// noteSender keeps the configuration version a member reports of itself.
func (n *Node) noteSender(p Packet) {
	m, ok := n.members[p.From]
	if ok && m.Incarnation == p.Incarnation {
		n.raiseVersion(m, p.ConfigVersion)
	}
}

func (n *Node) raiseVersion(m *member, version uint64) {
	if version > m.ConfigVersion {
		m.ConfigVersion = version
		n.touch()
	}
}

// send queues a packet with the header filled in.
func (n *Node) send(to string, p Packet) {
	p.From = n.self.Name
	p.Incarnation = n.self.Incarnation
	p.ConfigVersion = n.self.ConfigVersion
	p.Digest = n.table.digest()
	p.Count = uint32(len(n.members) + 1)
	p.HighestVersion, p.HighestHolder = n.index().best, n.index().holder
	n.out = append(n.out, Outgoing{To: to, Packet: p})
}

func (n *Node) flush() []Outgoing {
	out := n.out
	n.out = nil
	return out
}

// forget drops records whose retention is over.
func (n *Node) forget(now time.Time) {
	if now.Before(n.nextExpiries) {
		return
	}
	n.nextExpiries = now.Add(time.Minute)
	for name, m := range n.members {
		if m.State.Terminal() && now.Sub(m.since) >= n.cfg.Retention {
			n.table.remove(m.Record)
			delete(n.members, name)
			n.touch()
		}
	}
}
