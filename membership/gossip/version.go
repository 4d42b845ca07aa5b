package gossip

import "time"

// newerConfigState tracks which higher version was reported to the application and
// when it is reported next.
type newerConfigState struct {
	nextReport time.Time
	reported   uint64
}

// updateHighestVersion records the highest configuration version named in a packet for the
// member that has it. One version and its holder in each packet spread a new version as
// fast as an update would, without a record from each member for each version.
func (n *Node) updateHighestVersion(p Packet) {
	m, ok := n.members[p.HighestHolder]
	if ok {
		n.raiseVersion(m, p.HighestVersion)
	}
}

// checkNewerConfig notifies the application of a peer with a higher version, immediately
// for a new version and then repeatedly until this instance has it.
func (n *Node) checkNewerConfig(now time.Time) {
	version := n.index().highestVersion
	if version == 0 || (version <= n.newerConfig.reported && now.Before(n.newerConfig.nextReport)) {
		return
	}
	n.updates.urgentVersion = n.updates.urgentVersion || version > n.newerConfig.reported
	holders := n.holdersOf(version)
	peer := holders[n.rng.IntN(len(holders))]
	n.newerConfig = newerConfigState{nextReport: now.Add(newerConfigInterval), reported: version}
	n.events.NewerConfig = &NewerConfig{Peer: peer, Version: version}
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
