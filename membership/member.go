// Package membership tracks which instances of the fleet are alive, which configuration
// version each has and which are draining. Instances gossip over UDP (see package gossip
// for the protocol); the platform's instance list and the settings only provide the
// addresses for initial contact.
//
// A Service runs the protocol in an actor. Its queries read a snapshot and never block.
package membership

import (
	"github.com/cairnworks/cairnworks/membership/gossip"
	"github.com/cairnworks/cairnworks/request"
)

// State is the state of a member.
type State = gossip.State

// States of a member. A suspect member did not answer a probe. It still counts as alive
// because it may refute the suspicion.
const (
	Alive   = gossip.Alive
	Suspect = gossip.Suspect
	Dead    = gossip.Dead
	Left    = gossip.Left
)

// Member describes an instance as known to this one.
type Member struct {
	// Holder's Address is the peer address, IP:port over TCP. Gossip uses the same
	// port number over UDP.
	request.Holder
	DataCentre string
	// OperatorAddress is the address of the operator endpoints, IP:port.
	OperatorAddress string
	// ConfigVersion is the highest configuration version reported for the member; it
	// may lag by seconds.
	ConfigVersion uint64
	State         State
	// Draining members take no new work and are not home of any key.
	Draining bool
}

func memberOf(r gossip.Record) Member {
	return Member{
		Holder:          request.Holder{Instance: r.Name, Incarnation: r.Incarnation, Address: r.Address},
		DataCentre:      r.DataCentre,
		OperatorAddress: r.OperatorAddress,
		ConfigVersion:   r.ConfigVersion,
		State:           r.State,
		Draining:        r.Draining,
	}
}

func recordOf(m Member) gossip.Record {
	return gossip.Record{
		Name:            m.Instance,
		Incarnation:     m.Incarnation,
		Address:         m.Address,
		OperatorAddress: m.OperatorAddress,
		DataCentre:      m.DataCentre,
		ConfigVersion:   m.ConfigVersion,
		Draining:        m.Draining,
	}
}
