package gossip

import "time"

// SetHints replaces the addresses from the platform's instance list and other hints.
func (n *Node) SetHints(addresses []string) { n.hints = addresses }

// SetConfigVersion publishes the configuration version of this instance. Lower
// versions are ignored because a configuration never goes back to an older one.
func (n *Node) SetConfigVersion(version uint64) {
	if version <= n.self.ConfigVersion {
		return
	}
	n.updates.urgentVersion = n.updates.urgentVersion || version > n.newerConfig.reported
	n.self.ConfigVersion = version
	n.markUpdated()
}

// SetDraining publishes whether this instance is draining and takes no new work.
func (n *Node) SetDraining(draining bool) {
	if n.self.Draining == draining {
		return
	}
	n.updateSelf(func(self *Record) {
		self.Draining = draining
		self.Seq++
	})
	n.events.MembersChanged = true
}

// Leave announces to a few members that this instance is shutting down and stops
// the protocol. The other members receive the announcement as a gossip update; a
// member that misses it detects the instance as dead.
func (n *Node) Leave(now time.Time) []Outgoing {
	if n.self.State.Terminal() {
		return nil
	}
	n.updateSelf(func(self *Record) { self.State = Left })
	n.events.MembersChanged = true
	for _, m := range n.randomMembers(leaveFanout, "") {
		n.send(m.Address, Packet{Kind: Push, Records: []Record{n.self}})
	}
	return n.flush()
}

// TakeEvents returns and clears the events since its last call.
func (n *Node) TakeEvents() Events {
	events := n.events
	n.events = Events{}
	return events
}
