// Package gossip implements the membership protocol by which instances detect which
// others are alive. It is a state machine without sockets, clock or goroutines: its
// inputs are packets and the time, its outputs packets and events.
//
// The protocol is a variant of SWIM: in each period a member pings one peer, asks a few
// others to ping the peer if it did not answer, suspects it, and declares it dead if the
// suspicion is not refuted in time. Updates are piggybacked on these packets. The records
// of an instance are totally ordered (see Supersedes) and a record is only ever replaced
// by a greater one, so that the views of members that exchange records converge whatever
// packets are lost, reordered or repeated.
//
// Two numbers order the records of one instance. The incarnation identifies one run, and
// leases granted to an instance are tied to it: an incarnation that is dead or left never
// returns, and an instance that learns that it was declared dead takes a new one. The
// sequence number only refutes suspicions and publishes changed data of the same run, so
// that a lost packet does not cost an instance its leases.
package gossip

import "time"

// State is the state of an incarnation. A higher state replaces a lower one.
type State uint8

const (
	// Alive members answer probes.
	Alive State = iota + 1
	// Suspect members did not answer a probe and may still refute the suspicion.
	// They count as members until declared dead.
	Suspect
	// Dead members did not refute a suspicion in time.
	Dead
	// Left members announced that they shut down.
	Left
)

// Terminal reports whether the state is final: the incarnation can never return.
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

// Record is the information about one incarnation of an instance.
type Record struct {
	Name            string
	Incarnation     uint64
	Seq             uint32
	State           State
	Address         string
	OperatorAddress string
	DataCentre      string
	Draining        bool
	// ConfigVersion is the highest configuration version reported for the incarnation.
	ConfigVersion uint64
	// Age is the time since a terminal state was declared, in whole seconds in
	// packets. It lets all members remove the record of a dead instance at about the
	// same time; otherwise a member would get a removed record again from a slower
	// peer, and the record would circulate forever.
	Age time.Duration
}

// Supersedes reports whether r replaces old, a record of the same instance. Records are
// totally ordered by incarnation, terminal state, sequence number and suspicion.
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

// Kind is the kind of a packet.
type Kind uint8

// Kinds of packets.
const (
	// Ping requests an Ack with the same probe number.
	Ping Kind = iota + 1
	Ack
	// PingRequest asks the receiver to ping Target and to forward the answer as a
	// RelayedAck.
	PingRequest
	RelayedAck
	// SyncRequest carries a filter of the sender's records and requests the others.
	SyncRequest
	// Push carries updates and needs no answer.
	Push
	// SyncPage answers a SyncRequest with records that its filter does not contain.
	SyncPage
)

// String returns the value of the kind tag in metrics.
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
