package quota

import "time"

// member is another instance of the fleet.
type member struct {
	id MemberID
	// heard is when its last report arrived; ever tells whether one did.
	heard time.Duration
	ever  bool
	// hears is when the member last heard this instance, in this instance's time.
	hears time.Duration
	// others is when it last heard other members.
	others map[MemberID]time.Duration
	// spent by organisation, as last told.
	spent map[string]int64
}

// SetMembers names the instances that the store lists, this one not among them.
// Only the newest run of a name is a member.
func (l *Ledger) SetMembers(now time.Duration, ids []MemberID) {
	listed := make(map[MemberID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		l.member(now, id)
	}
	for id := range l.members {
		if !listed[id] {
			delete(l.members, id)
		}
	}
}

// member returns a member, new ones with the time from which they count as silent.
func (l *Ledger) member(now time.Duration, id MemberID) *member {
	m, known := l.members[id]
	if !known {
		m = &member{id: id, heard: now, hears: now, others: make(map[MemberID]time.Duration), spent: make(map[string]int64)}
		l.members[id] = m
	}
	return m
}

// size is the number of instances, this one included.
func (l *Ledger) size() float64 { return float64(len(l.members) + 1) }

// Hear takes in a report that arrived now.
func (l *Ledger) Hear(now time.Duration, r Report) {
	for _, a := range l.accounts {
		l.refill(now, a)
	}
	m := l.member(now, r.From)
	lost := l.silent(now, m)
	m.heard, m.ever = now, true
	for _, h := range r.Heard {
		if h.Member == l.self {
			m.hears = h.At
			continue
		}
		m.others[h.Member] = h.At
	}
	for name, total := range r.Spent {
		l.settle(m, name, total, lost)
	}
	if lost {
		l.join(now, r)
	}
	if now-l.started <= learning {
		l.adopt(now, r)
	}
}

// settle takes a member's use off the bucket. What a member has spent while it was not
// heard came off the share that was set aside for it.
func (l *Ledger) settle(m *member, name string, total int64, lost bool) {
	a, known := l.accounts[name]
	before, told := m.spent[name]
	m.spent[name] = total
	if !known || lost || !told {
		return
	}
	a.level = min(a.level-float64(total-before), a.limit.Burst)
	a.pace += max(float64(total-before), 0) / paceTime.Seconds()
}

// join adds the part of a member that is heard again to what is left here. Use that
// others were allowed and that this instance had no share of may have taken the level
// far below nothing; if the member has something left, it counts as nothing, since
// otherwise this instance would refuse for seconds what the others admit. If not, the
// debt is real: were it dropped, each of seventy instances that are heard for the first
// time after a mass restart would forgive it once more.
func (l *Ledger) join(now time.Duration, r Report) {
	part := 1 / l.heardBy(now, r)
	for name, a := range l.accounts {
		a.heard = l.heardShare(now)
		if r.Level[name] > 0 {
			a.level = max(a.level, 0)
		}
		a.level = min(a.level+r.Level[name]*part*a.limit.Burst, a.limit.Burst*a.heard)
	}
}

// heardBy is the number of instances that a report's sender hears, itself included.
func (l *Ledger) heardBy(now time.Duration, r Report) float64 {
	count := 1.0
	for _, h := range r.Heard {
		if now-h.At <= l.stretched(l.cfg.Silence) {
			count++
		}
	}
	return count
}

// learning is how long after its start an instance takes over what others know of the
// use before it.
const learning = 2 * time.Second

// adopt takes over the level that a member tells, if it is lower for each instance that
// the level is for. One that hears fewer than this instance has spent of a smaller part,
// which is no measure of what the whole has left.
func (l *Ledger) adopt(now time.Duration, r Report) {
	each := 1 / l.heardBy(now, r)
	heard := l.heardShare(now) * l.size()
	if each*heard > 1 {
		return
	}
	for name, share := range r.Level {
		if a, known := l.accounts[name]; known {
			a.level = min(a.level, share*each*heard*a.limit.Burst)
		}
	}
}

// silent reports whether a member has not been heard for a while.
func (l *Ledger) silent(now time.Duration, m *member) bool {
	return !m.ever || now-m.heard > l.stretched(l.cfg.Silence)
}

// Audible lists the members that are heard.
func (l *Ledger) Audible(now time.Duration) []MemberID {
	var out []MemberID
	for id, m := range l.members {
		if !l.silent(now, m) {
			out = append(out, id)
		}
	}
	return out
}

// strayShare is the part of the members whose word alone restricts nobody: in a large
// fleet there is always one that is slow. What they spend unseen is their share of the
// requests.
const strayShare = 0.05

// strays is how many members may differ from the others.
func (l *Ledger) strays() int { return int(strayShare * l.size()) }

// Restricted reports whether this instance may spend its fair share only, since
// others may not count what it spends.
func (l *Ledger) Restricted(now time.Duration) bool {
	count := 0
	for _, m := range l.members {
		unheard := false
		if l.silent(now, m) {
			unheard = l.heardElsewhere(now, m)
		} else {
			unheard = now-m.hears > l.stretched(l.cfg.Silence)
		}
		if unheard {
			count++
		}
	}
	return count > l.strays()
}

// heardElsewhere reports whether a member that is silent here is heard by another
// one that is heard here.
func (l *Ledger) heardElsewhere(now time.Duration, silent *member) bool {
	for _, m := range l.members {
		if m == silent || l.silent(now, m) {
			continue
		}
		at, told := m.others[silent.id]
		if !told || now-at > l.stretched(l.cfg.Silence) {
			continue
		}
		if !silent.ever || at-silent.heard > l.stretched(l.cfg.Fresher) {
			return true
		}
	}
	return false
}

// heardShare is the part of the instances that are heard, this one included.
func (l *Ledger) heardShare(now time.Duration) float64 {
	silent := 0
	for _, m := range l.members {
		if l.silent(now, m) {
			silent++
		}
	}
	return (l.size() - float64(silent)) / l.size()
}
