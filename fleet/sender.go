package fleet

import (
	"net/netip"

	"github.com/cairnworks/cairnworks/fleetid"
)

// SetFleet sets the verifier of the fleet whose reports are accepted. It must be called before Run.
// Without it, the sender of any valid datagram counts as an instance.
func (x *Exchange) SetFleet(fleet *fleetid.Verifier) { x.verifier = fleet }

// Identity returns this instance's fleet identity, which is empty without a verifier.
func (x *Exchange) Identity() fleetid.Identity {
	if x.verifier == nil {
		return fleetid.Identity{}
	}
	return x.verifier.Identity()
}

// inOwnFleet reports whether a report comes from an instance of this fleet. An instance of another
// deployment sends reports here if it was assigned an address that this fleet still lists, or the other
// way round. If it were accepted as a member, it would get a share of every quota, its load counts
// would be added to this fleet's, and each deployment would adopt the other's configuration, so that
// callers' keys would be valid where they were never issued. Fleet names do not distinguish
// deployments, so reports are rejected until both IDs are known.
func (x *Exchange) inOwnFleet(r *Report, from netip.AddrPort) bool {
	switch {
	case x.verifier == nil:
		return true
	case r.Fleet == (fleetid.Identity{}):
		// Versions that do not send their fleet are accepted if the run is in the list of instances.
		return x.isKnownRun(RunOf(r.Instance, r.Incarnation), r.Instance)
	default:
		return x.verifier.Check(r.Fleet, r.Instance, from.String()) == fleetid.SameFleet
	}
}

// isKnownRun reports whether this is the known run of the named instance.
func (x *Exchange) isKnownRun(run Run, name string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p, known := x.peers[name]
	return known && p.run == run
}
