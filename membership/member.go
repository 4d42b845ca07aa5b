// Package membership tells which instances of the fleet are alive, which
// configuration version each holds and which are draining. Instances gossip over
// UDP (see package gossip for the protocol); the platform's instance list and the
// settings only give addresses to begin with.
//
// A Service runs the protocol in an actor. Its queries read a snapshot and never
// wait.
package membership

import (
	"github.com/cairnworks/cairnworks/membership/gossip"
	"github.com/cairnworks/cairnworks/request"
)

// State of a member.
type State = gossip.State

// States of a member. Suspect members still count as alive: they have not
// answered somebody and may yet refute it.
const (
	Alive   = gossip.Alive
	Suspect = gossip.Suspect
	Dead    = gossip.Dead
	Left    = gossip.Left
)

// Member is one instance as this one knows it.
type Member struct {
	// Holder's Address is the peer address, IP:port over TCP. Gossip uses the same
	// port number over UDP.
	request.Holder
	DataCentre string
	// OperatorAddress serves the operators' endpoints, IP:port.
	OperatorAddress string
	// ConfigVersion is the highest version that the member was heard to hold; it
	// may lag by seconds.
	ConfigVersion uint64
	State         State
	// Draining members take no new work and no homes.
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
