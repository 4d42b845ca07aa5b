package gossip

import "time"

type behindState struct {
	next time.Time
	told uint64
}

// noteHighest learns of a third member's configuration version. One version and
// its holder in each packet spread a new version as fast as any news, without a
// record from each member for each version.
func (n *Node) noteHighest(p Packet) {
	m, ok := n.members[p.HighestHolder]
	if ok {
		n.raiseVersion(m, p.HighestVersion)
	}
}

// checkBehind tells the owner of a peer with a higher version, at once when the
// version is new and then again while this instance stays behind.
func (n *Node) checkBehind(now time.Time) {
	version := n.index().best
	if version == 0 || (version <= n.behind.told && now.Before(n.behind.next)) {
		return
	}
	n.news.urgentVersion = n.news.urgentVersion || version > n.behind.told
	holders := n.holdersOf(version)
	peer := holders[n.rng.IntN(len(holders))]
	n.behind = behindState{next: now.Add(behindInterval), told: version}
	n.events.Behind = &Behind{Peer: peer, Version: version}
}

func (n *Node) holdersOf(version uint64) []Record {
	var holders []Record
	for _, name := range n.index().live {
		m := n.members[name]
		if m.ConfigVersion >= version {
			holders = append(holders, m.Record)
		}
	}
	return holders
}
