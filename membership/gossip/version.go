package gossip

import "time"

type behindState struct {
	next time.Time
	told uint64
}

// noteHighest learns of a third member's configuration version.
func (n *Node) noteHighest(p Packet) {
	m, ok := n.members[p.HighestHolder]
	if ok {
		n.raiseVersion(m, p.HighestVersion)
	}
}

// highest returns the highest configuration version held by a live peer, when it
// is above this instance's own. One number a packet spreads a new version in as
// many rounds as any news takes, without a record from each member for each
// version.
func (n *Node) highest() (uint64, string) {
	best, holder := n.self.ConfigVersion, ""
	for name, m := range n.members {
		if m.State.Terminal() || m.ConfigVersion < best {
			continue
		}
		if m.ConfigVersion > best || (holder != "" && name < holder) {
			best, holder = m.ConfigVersion, name
		}
	}
	if holder == "" {
		return 0, ""
	}
	return best, holder
}

// checkBehind tells the owner of a peer with a higher version, at once when the
// version is new and then again while this instance stays behind.
func (n *Node) checkBehind(now time.Time) {
	version, _ := n.highest()
	if version == 0 || (version <= n.behind.told && now.Before(n.behind.next)) {
		return
	}
	holders := n.holdersOf(version)
	peer := holders[n.rng.IntN(len(holders))]
	n.behind = behindState{next: now.Add(behindInterval), told: version}
	n.events.Behind = &Behind{Peer: peer, Version: version}
}

func (n *Node) holdersOf(version uint64) []Record {
	var holders []Record
	for _, name := range n.names() {
		m := n.members[name]
		if !m.State.Terminal() && m.ConfigVersion >= version {
			holders = append(holders, m.Record)
		}
	}
	return holders
}
