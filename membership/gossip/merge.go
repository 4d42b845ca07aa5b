package gossip

import "time"

// mergeNews takes records in and passes on what was new.
func (n *Node) mergeNews(now time.Time, records []Record) {
	for _, r := range records {
		switch n.merge(now, r) {
		case visible:
			n.announceUrgent(r.Name)
		case internal:
			n.announce(r.Name)
		}
	}
}

// mergePage takes a sync page in. Its records are not passed on as news: a page
// brings what its receiver missed, and peers that miss it too sync for themselves.
// Passing on a whole table record by record would fill the news budget for
// minutes and delay a death behind it.
func (n *Node) mergePage(now time.Time, records []Record) {
	useful := 0
	for _, r := range records {
		if n.merge(now, r) != nothing {
			useful++
		}
	}
	n.sync.bulk = useful >= bulkPage
}

// change is what a record did to the table.
type change uint8

const (
	// nothing: the record was known.
	nothing change = iota
	// internal changes concern the protocol only.
	internal
	// visible changes matter to the owner.
	visible
)

// merge takes one record in.
func (n *Node) merge(now time.Time, r Record) change {
	if r.Name == n.self.Name {
		n.mergeSelf(r)
		return nothing
	}
	m, known := n.members[r.Name]
	if !known {
		return n.learn(now, r)
	}
	if r.Supersedes(m.Record) {
		return n.replace(now, m, r)
	}
	if r.Incarnation == m.Incarnation {
		n.raiseVersion(m, r.ConfigVersion)
	}
	return nothing
}

func (n *Node) learn(now time.Time, r Record) change {
	// A record about to be forgotten here is already forgotten elsewhere.
	if r.State.Terminal() && r.Age >= n.cfg.Retention {
		return nothing
	}
	m := &member{Record: r, since: now.Add(-r.Age)}
	n.members[r.Name] = m
	n.table.add(r)
	n.noteChange(now)
	if r.State.Terminal() {
		return internal
	}
	n.events.Changed = true
	return visible
}

// replace moves a member to a record that supersedes its own.
func (n *Node) replace(now time.Time, m *member, r Record) change {
	old := m.Record
	if old.Incarnation == r.Incarnation {
		r.ConfigVersion = max(r.ConfigVersion, old.ConfigVersion)
	}
	n.table.remove(old)
	n.table.add(r)
	m.Record = r
	m.since = now.Add(-r.Age)
	m.ownDoubt = false
	n.noteChange(now)
	if !ownerSees(old, r) {
		return internal
	}
	if r.State.Terminal() {
		n.lastLoss = now
	}
	n.events.Changed = true
	return visible
}

// ownerSees reports whether the change matters outside the protocol.
func ownerSees(old, r Record) bool {
	return old.Incarnation != r.Incarnation ||
		old.State.Terminal() != r.State.Terminal() ||
		old.Draining != r.Draining
}

// mergeSelf handles what others say of this instance. A suspicion is refuted with
// a higher sequence number. A death of this incarnation stands: leases tied to it
// may already be held by others, so that going on under it would give two
// holders; the instance goes on under a new one and its owner drops what it held.
func (n *Node) mergeSelf(r Record) {
	if n.self.State.Terminal() || r.Incarnation < n.self.Incarnation {
		return
	}
	sameRun := r.Incarnation == n.self.Incarnation
	switch {
	case sameRun && r.State == Suspect && r.Seq >= n.self.Seq:
		n.updateSelf(func(self *Record) { self.Seq = r.Seq + 1 })
	case sameRun && r.State == Suspect, sameRun && r.State == Alive && r.Seq <= n.self.Seq:
		return
	default:
		// Declared dead, or an earlier run whose clock was ahead of this one's.
		n.renew(r.Incarnation)
	}
}

// renew takes an incarnation above one that others hold terminal or newer.
func (n *Node) renew(above uint64) {
	old := n.self.Incarnation
	n.updateSelf(func(self *Record) {
		self.Incarnation = above + 1
		self.Seq = 1
	})
	n.events.Renewed = &Renewal{Old: old, New: n.self.Incarnation}
	n.events.Changed = true
}

// updateSelf changes this instance's own record and spreads it.
func (n *Node) updateSelf(change func(*Record)) {
	n.table.remove(n.self)
	change(&n.self)
	n.table.add(n.self)
	n.announceUrgent(n.self.Name)
	n.touch()
}

// wire returns the record as it is sent at now.
func (m *member) wire(now time.Time) Record {
	r := m.Record
	if r.State.Terminal() {
		r.Age = now.Sub(m.since).Truncate(time.Second)
	}
	return r
}
