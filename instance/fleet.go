package instance

import (
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/request"
)

// schedulerHome returns the instance that schedules a service by this instance's
// view of the fleet. When every instance is draining each schedules for itself:
// the requests that still arrive must be served, and an upstream refuses what two
// schedulers ask too much of it.
func (i *Instance) schedulerHome(service string) (request.Holder, bool) {
	home, ok := membership.Home("scheduler/"+service, i.members.Members())
	if !ok {
		return i.self(), true
	}
	return home.Holder, true
}

// givenUp reports whether the fleet has declared a run of an instance dead or
// knows a later one. A run it has never heard of is not given up.
func (i *Instance) givenUp(holder request.Holder) bool {
	for _, m := range i.members.All() {
		if m.Instance == holder.Instance {
			return m.Incarnation > holder.Incarnation || m.Incarnation == holder.Incarnation && m.State.Terminal()
		}
	}
	return false
}

// self is this instance with its present incarnation, which changes when the
// fleet has declared it dead during a pause.
func (i *Instance) self() request.Holder { return i.members.Self().Holder }
