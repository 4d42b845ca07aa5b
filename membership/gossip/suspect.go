package gossip

import "time"

// suspect marks a member as suspect that answered neither the ping nor the indirect
// probes.
func (n *Node) suspect(now time.Time, name string) {
	m, ok := n.members[name]
	if !ok || m.State.Terminal() {
		return
	}
	if m.State == Alive {
		r := m.Record
		r.State = Suspect
		n.replaceRecord(now, m, r)
		n.queueUpdate(name)
	}
	if !m.ownProbeFailed {
		m.ownProbeFailed = true
		m.since = now
		m.nextPing = now
	}
}

// checkSuspects pings suspects and declares those dead that did not refute the suspicion
// in time.
//
// A member that only received the suspicion by gossip waits several times longer than
// one whose own probe failed: the refutation may arrive seconds after the suspicion, and
// a declared death cannot be revoked. The longer timeout is needed for the case that all
// members whose own probes failed have died as well.
func (n *Node) checkSuspects(now time.Time) {
	limit := n.cfg.suspicionTimeout(n.liveCount())
	for _, name := range n.index().suspects {
		m := n.members[name]
		wait := limit
		if !m.ownProbeFailed {
			wait = remoteSuspicionFactor * limit
		}
		if now.Sub(m.since) >= wait {
			n.declareDead(now, m)
			continue
		}
		if m.ownProbeFailed && !now.Before(m.nextPing) {
			m.nextPing = now.Add(suspectPingInterval)
			n.ping(now, m, n.nextProbeNumber())
		}
	}
}

func (n *Node) declareDead(now time.Time, m *member) {
	r := m.Record
	r.State = Dead
	r.Age = 0
	n.replaceRecord(now, m, r)
	n.queueUrgentUpdate(m.Name)
}
