package instance

import (
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/request"
)

// schedulerHome returns the instance that schedules a service, according to this instance's view of
// the fleet. If all instances are draining, each schedules for itself: requests that still arrive
// must be served, and an upstream rejects requests beyond its capacity if several schedulers
// overcommit it.
func (i *Instance) schedulerHome(service string) (request.Holder, bool) {
	home, ok := membership.Home("scheduler/"+service, i.members.Members())
	if !ok {
		return i.self(), true
	}
	return home.Holder, true
}

// isDeadRun reports whether the fleet has declared a run of an instance dead or knows a later run
// of that instance. A run of an unknown instance is not considered dead.
func (i *Instance) isDeadRun(holder request.Holder) bool {
	for _, m := range i.members.All() {
		if m.Instance == holder.Instance {
			return m.Incarnation > holder.Incarnation || m.Incarnation == holder.Incarnation && m.State.Terminal()
		}
	}
	return false
}

// self returns this instance with its current incarnation. The incarnation changes if the fleet
// declared the instance dead while its process was paused.
func (i *Instance) self() request.Holder { return i.members.Self().Holder }
