package membership

import (
	"go.uber.org/zap"
)

// memberChange is the kind of a member's change in logs and metrics.
type memberChange string

const (
	memberJoined    memberChange = "joined"
	memberDied      memberChange = "dead"
	memberLeft      memberChange = "left"
	memberRestarted memberChange = "restarted"
	drainingStarted memberChange = "draining"
	drainingEnded   memberChange = "draining_ended"
)

// classifyChange returns the kind of change between two records of a member, or "" for a
// change that is not reported to operators. known is false if the member was not known
// before.
func classifyChange(before Member, known bool, after Member) memberChange {
	switch {
	case after.State == Dead && known && before.State != Dead:
		return memberDied
	case after.State == Left && known && before.State != Left:
		return memberLeft
	case after.State.Terminal():
		return ""
	case !known, before.State.Terminal():
		return memberJoined
	case before.Incarnation != after.Incarnation:
		return memberRestarted
	case before.Draining != after.Draining && after.Draining:
		return drainingStarted
	case before.Draining != after.Draining:
		return drainingEnded
	default:
		return ""
	}
}

// logChanges logs each member that changed, so that the log alone shows when an instance
// was lost and which run of it.
func (s *Service) logChanges(before, after []Member) {
	old := make(map[string]Member, len(before))
	for _, m := range before {
		old[m.Instance] = m
	}
	for _, m := range after {
		previous, known := old[m.Instance]
		kind := classifyChange(previous, known, m)
		if kind == "" {
			continue
		}
		s.metrics.changes(kind).Inc(1)
		s.log.Info("member changed",
			zap.String("member", m.Instance),
			zap.String("change", string(kind)),
			zap.Uint64("incarnation", m.Incarnation),
			zap.String("address", m.Address),
			zap.String("data_centre", m.DataCentre))
	}
}
