package gossip

import "time"

// SetHints replaces the addresses of the platform's list.
func (n *Node) SetHints(addresses []string) { n.hints = addresses }

// SetConfigVersion publishes the configuration version that this instance holds.
// Lower versions are ignored: a configuration never reverts.
func (n *Node) SetConfigVersion(version uint64) {
	if version <= n.self.ConfigVersion {
		return
	}
	n.news.urgentVersion = n.news.urgentVersion || version > n.behind.told
	n.self.ConfigVersion = version
	n.touch()
}

// SetDraining publishes whether this instance takes new work.
func (n *Node) SetDraining(draining bool) {
	if n.self.Draining == draining {
		return
	}
	n.updateSelf(func(self *Record) {
		self.Draining = draining
		self.Seq++
	})
	n.events.Changed = true
}

// Leave announces this instance's end to a few members and stops the protocol.
// The announcement spreads as news; members it misses notice the death.
func (n *Node) Leave(now time.Time) []Outgoing {
	if n.self.State.Terminal() {
		return nil
	}
	n.updateSelf(func(self *Record) { self.State = Left })
	n.events.Changed = true
	for _, m := range n.pick(leavePushes, "") {
		n.send(m.Address, Packet{Kind: Push, Records: []Record{n.self}})
	}
	return n.flush()
}

// Take returns the events since its last call.
func (n *Node) Take() Events {
	events := n.events
	n.events = Events{}
	return events
}
