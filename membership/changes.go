package membership

import (
	"go.uber.org/zap"
)

// change is what operators are told of one member.
type change string

const (
	joined    change = "joined"
	died      change = "dead"
	left      change = "left"
	restarted change = "restarted"
	drains    change = "draining"
	resumed   change = "draining_ended"
)

// compare names the change between two records of a member, or "" when operators
// need not know. known is false when the member was not known before.
func compare(before Member, known bool, after Member) change {
	switch {
	case after.State == Dead && known && before.State != Dead:
		return died
	case after.State == Left && known && before.State != Left:
		return left
	case after.State.Terminal():
		return ""
	case !known, before.State.Terminal():
		return joined
	case before.Incarnation != after.Incarnation:
		return restarted
	case before.Draining != after.Draining && after.Draining:
		return drains
	case before.Draining != after.Draining:
		return resumed
	default:
		return ""
	}
}

// logChanges writes a line for each member that changed, so that the log alone
// tells when an instance was lost and which run of it.
func (s *Service) logChanges(before, after []Member) {
	old := make(map[string]Member, len(before))
	for _, m := range before {
		old[m.Instance] = m
	}
	for _, m := range after {
		previous, known := old[m.Instance]
		what := compare(previous, known, m)
		if what == "" {
			continue
		}
		s.metrics.change(what).Inc(1)
		s.log.Info("member changed",
			zap.String("member", m.Instance),
			zap.String("change", string(what)),
			zap.Uint64("incarnation", m.Incarnation),
			zap.String("address", m.Address),
			zap.String("data_centre", m.DataCentre))
	}
}
