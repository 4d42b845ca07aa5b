package fleet

import (
	"net/netip"

	"github.com/cairnworks/cairnworks/fleetid"
)

// SetFleet sets the fleet whose reports are taken, and is to be called before Run. Without it
// whoever sends a readable datagram counts as an instance.
func (x *Exchange) SetFleet(fleet *fleetid.Verifier) { x.fleet = fleet }

// identity is what this instance says of its fleet.
func (x *Exchange) identity() fleetid.Identity {
	if x.fleet == nil {
		return fleetid.Identity{}
	}
	return x.fleet.Identity()
}

// ownFleet reports whether a report comes from an instance of this fleet. Another deployment's
// instance sends here when it was given an address that this one's list still names, or the
// other way round. Taken for one of this fleet it would take a share of every quota, its counts
// of engines would be added to these, and each deployment would learn the other's
// configuration: callers' keys would hold where they were never given. Names do not tell
// deployments apart, so that nobody is heard until both ids are known.
func (x *Exchange) ownFleet(r *Report, from netip.AddrPort) bool {
	switch {
	case x.fleet == nil:
		return true
	case r.Fleet == (fleetid.Identity{}):
		// A version that does not tell its fleet is known by the store's list.
		return x.listed(RunOf(r.Instance, r.Incarnation), r.Instance)
	default:
		return x.fleet.Check(r.Fleet, r.Instance, from.String()) == fleetid.SameFleet
	}
}

// listed reports whether a run is one that is known here.
func (x *Exchange) listed(run Run, name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, known := x.peers[name]
	return known && p.run == run
}
