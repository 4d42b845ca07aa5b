package gossip

import "time"

// doubt suspects a member that answered neither directly nor through others.
func (n *Node) doubt(now time.Time, name string) {
	m, ok := n.members[name]
	if !ok || m.State.Terminal() {
		return
	}
	if m.State == Alive {
		r := m.Record
		r.State = Suspect
		n.replace(now, m, r)
		n.announce(name)
	}
	if !m.ownDoubt {
		m.ownDoubt = true
		m.since = now
		m.nextConfirm = now
	}
}

// tendSuspects pings suspects and declares those dead that did not refute.
//
// A member that only heard of a suspicion waits several times longer than one
// that itself got no answer: the refutation may reach it seconds after the
// suspicion, and a death once declared cannot be taken back. The long wait covers
// the case that every member with a doubt of its own has died as well.
func (n *Node) tendSuspects(now time.Time) {
	limit := n.cfg.suspicion(n.liveCount())
	for _, name := range n.index().suspects {
		m := n.members[name]
		wait := limit
		if !m.ownDoubt {
			wait = hearsayFactor * limit
		}
		if now.Sub(m.since) >= wait {
			n.declareDead(now, m)
			continue
		}
		if m.ownDoubt && !now.Before(m.nextConfirm) {
			m.nextConfirm = now.Add(confirmInterval)
			n.ping(now, m, n.probeNumber())
		}
	}
}

func (n *Node) declareDead(now time.Time, m *member) {
	r := m.Record
	r.State = Dead
	r.Age = 0
	n.replace(now, m, r)
	n.announceUrgent(m.Name)
}
