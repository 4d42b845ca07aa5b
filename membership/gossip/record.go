// Package gossip is the protocol by which instances learn who else is alive. It
// is a state machine without sockets, clock or goroutines: packets and the time
// go in, packets and events come out.
//
// The protocol is of the SWIM family: each period a member pings one peer, asks
// a few others to ping a peer that did not answer, suspects it, and declares it
// dead when the suspicion is not refuted in time. News rides on those packets.
// Every record has a total order (see Supersedes) and a member only ever moves to
// a greater record, so that views that exchange records converge whatever the
// order, loss or repetition of packets.
//
// Two numbers order the records of one instance. The incarnation names one run,
// and whoever holds leases for an instance ties them to it: once dead or left, an
// incarnation never returns, and an instance that finds itself declared dead
// takes a new one. The sequence number only refutes suspicions and publishes
// changed data of the same run, so that a lost packet does not cost an instance
// its leases.
package gossip

import "time"

// State of an incarnation, in the order in which one replaces another.
type State uint8

const (
	// Alive members answer.
	Alive State = iota + 1
	// Suspect members did not answer somebody and may still refute it. They
	// count as members until declared dead.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members announced their end.
	Left
)

// Terminal reports whether the incarnation can never return.
func (s State) Terminal() bool { return s >= Dead }

// String returns the name used in logs and operator output.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// Record is what is known of one incarnation of one instance.
type Record struct {
	Name            string
	Incarnation     uint64
	Seq             uint32
	State           State
	Address         string
	OperatorAddress string
	DataCentre      string
	Draining        bool
	// ConfigVersion is the highest version that the incarnation was heard to hold.
	ConfigVersion uint64
	// Age is the time since a terminal state was declared, whole seconds in
	// packets. It lets all members forget a dead instance at about the same time;
	// without it a forgotten record would be learnt anew from a slower peer and
	// circulate for ever.
	Age time.Duration
}

// Supersedes reports whether r replaces old, a record of the same name. The order
// is total over incarnation, terminal state, sequence number and suspicion.
func (r Record) Supersedes(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.State.Terminal() || old.State.Terminal() {
		return r.State > old.State
	}
	if r.Seq != old.Seq {
		return r.Seq > old.Seq
	}
	return r.State > old.State
}

// Kind of a packet.
type Kind uint8

// Kinds of packets.
const (
	// Ping asks for an Ack with the same probe number.
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping Target and to pass its answer on as a
	// RelayedAck.
	PingRequest
	RelayedAck
	// SyncRequest carries a filter of the records held and asks for others.
	SyncRequest
	// Push carries news and wants no answer.
	Push
	// SyncPage answers a SyncRequest with records that are not in its filter.
	SyncPage
)

// String returns the metric tag of the kind.
func (k Kind) String() string {
	switch k {
	case Ping:
		return "ping"
	case Ack:
		return "ack"
	case PingRequest:
		return "ping_request"
	case RelayedAck:
		return "relayed_ack"
	case SyncRequest:
		return "sync_request"
	case Push:
		return "push"
	case SyncPage:
		return "sync_page"
	default:
		return "unknown"
	}
}

// Packet is one datagram.
type Packet struct {
	Kind           Kind
	Probe          uint32
	From           string
	Incarnation    uint64
	ConfigVersion  uint64
	HighestVersion uint64
	HighestHolder  string
	Digest         uint32
	Count          uint32
	Target         string
	TargetAddress  string
	Filter         []byte
	Records        []Record
}

// Outgoing is a packet with its destination, IP:port.
type Outgoing struct {
	To     string
	Packet Packet
}
