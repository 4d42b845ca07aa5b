package instance

import (
	"github.com/cairnworks/cairnworks/membership"
	"github.com/cairnworks/cairnworks/request"
)

// schedulerHome returns the instance that schedules a service by this instance's
// view of the fleet.
func (i *Instance) schedulerHome(service string) (request.Holder, bool) {
	home, ok := membership.Home("scheduler/"+service, i.members.Members())
	return home.Holder, ok
}

// placedHolders are the instances that may be given homes: alive, not draining.
func (i *Instance) placedHolders() []request.Holder {
	members := i.members.Members()
	holders := make([]request.Holder, 0, len(members))
	for _, m := range members {
		if !m.Draining {
			holders = append(holders, m.Holder)
		}
	}
	return holders
}

// self is this instance with its present incarnation, which changes when the
// fleet has declared it dead during a pause.
func (i *Instance) self() request.Holder { return i.members.Self().Holder }
