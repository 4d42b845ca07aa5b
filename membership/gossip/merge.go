package gossip

import "time"

// mergeUpdates merges received records and queues those that are new for sending.
func (n *Node) mergeUpdates(now time.Time, records []Record) {
	for _, r := range records {
		switch n.merge(now, r) {
		case visibleChange:
			n.queueUrgentUpdate(r.Name)
		case internalChange:
			n.queueUpdate(r.Name)
		}
	}
}

// mergeSyncPage merges a sync page. Its records are not queued as updates: a page
// contains what its receiver missed, and peers that missed it too request their own
// sync. Sending a whole table record by record would exhaust the update budget for
// minutes and delay the update about a death.
func (n *Node) mergeSyncPage(now time.Time, records []Record) {
	useful := 0
	for _, r := range records {
		if n.merge(now, r) != unchanged {
			useful++
		}
	}
	n.sync.bulk = useful >= bulkPageRecords
}

// mergeResult is the effect of a received record on the table.
type mergeResult uint8

const (
	// unchanged means that the record was already known or is outdated.
	unchanged mergeResult = iota
	// internalChange is a change that concerns only the protocol.
	internalChange
	// visibleChange is a change that matters to the application.
	visibleChange
)

// merge merges one received record.
func (n *Node) merge(now time.Time, r Record) mergeResult {
	if r.Name == n.self.Name {
		n.mergeSelf(r)
		return unchanged
	}
	m, known := n.members[r.Name]
	if !known {
		return n.addMember(now, r)
	}
	if r.Supersedes(m.Record) {
		return n.replaceRecord(now, m, r)
	}
	if r.Incarnation == m.Incarnation {
		n.raiseVersion(m, r.ConfigVersion)
	}
	return unchanged
}

func (n *Node) addMember(now time.Time, r Record) mergeResult {
	// The record would expire immediately; others have already removed it.
	if r.State.Terminal() && r.Age >= n.cfg.Retention {
		return unchanged
	}
	m := &member{Record: r, since: now.Add(-r.Age)}
	n.members[r.Name] = m
	n.digest.add(r)
	n.markTableChanged(now)
	if r.State.Terminal() {
		return internalChange
	}
	n.events.MembersChanged = true
	return visibleChange
}

// replaceRecord replaces the record of a member by one that supersedes it.
func (n *Node) replaceRecord(now time.Time, m *member, r Record) mergeResult {
	old := m.Record
	if old.Incarnation == r.Incarnation {
		r.ConfigVersion = max(r.ConfigVersion, old.ConfigVersion)
	}
	n.digest.remove(old)
	n.digest.add(r)
	m.Record = r
	m.since = now.Add(-r.Age)
	m.ownProbeFailed = false
	n.markTableChanged(now)
	if !visibleToApplication(old, r) {
		return internalChange
	}
	if r.State.Terminal() {
		n.lastMemberLoss = now
	}
	n.events.MembersChanged = true
	return visibleChange
}

// visibleToApplication reports whether the change from old to r matters to the
// application.
func visibleToApplication(old, r Record) bool {
	return old.Incarnation != r.Incarnation ||
		old.State.Terminal() != r.State.Terminal() ||
		old.Draining != r.Draining
}

// mergeSelf handles a received record of this instance. A suspicion is refuted with a
// higher sequence number. The death of an incarnation is final: others may already
// hold the leases tied to it, and an instance that continued with it would be a second
// holder. The instance continues with a new incarnation and the application drops
// what was granted to the old one.
func (n *Node) mergeSelf(r Record) {
	if n.self.State.Terminal() || r.Incarnation < n.self.Incarnation {
		return
	}
	sameIncarnation := r.Incarnation == n.self.Incarnation
	switch {
	case sameIncarnation && r.State == Suspect && r.Seq >= n.self.Seq:
		n.updateSelf(func(self *Record) { self.Seq = r.Seq + 1 })
	case sameIncarnation && r.State == Suspect, sameIncarnation && r.State == Alive && r.Seq <= n.self.Seq:
		return
	default:
		// This incarnation was declared dead, or the clock of an earlier run was
		// ahead of the current one.
		n.startNewIncarnation(r.Incarnation)
	}
}

// startNewIncarnation switches to an incarnation above one that others know as
// terminal or as newer than the current one.
func (n *Node) startNewIncarnation(above uint64) {
	old := n.self.Incarnation
	n.updateSelf(func(self *Record) {
		self.Incarnation = above + 1
		self.Seq = 1
	})
	n.events.NewIncarnation = &IncarnationChange{Old: old, New: n.self.Incarnation}
	n.events.MembersChanged = true
}

// updateSelf changes the record of this instance and queues it as an urgent update.
func (n *Node) updateSelf(change func(*Record)) {
	n.digest.remove(n.self)
	change(&n.self)
	n.digest.add(n.self)
	n.queueUrgentUpdate(n.self.Name)
	n.markUpdated()
}

// recordAt returns the record to send at now, with its age if the state is terminal.
func (m *member) recordAt(now time.Time) Record {
	r := m.Record
	if r.State.Terminal() {
		r.Age = now.Sub(m.since).Truncate(time.Second)
	}
	return r
}
