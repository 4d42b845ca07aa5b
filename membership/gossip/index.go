package gossip

import "slices"

// index holds what is derived from the records. It is built anew after a change,
// so that the twenty ticks a second of a large fleet at rest do not walk it.
type index struct {
	// names are the other members' in order, so that the same inputs give the same
	// packets whatever the order of the map; live are those not terminal.
	names    []string
	live     []string
	suspects []string
	// best is the highest configuration version among live members that is above
	// this instance's own, and holder one of its holders; 0 and empty when none is.
	best   uint64
	holder string
}

// touch marks the records as changed.
func (n *Node) touch() {
	n.derived = nil
	n.events.Updated = true
}

func (n *Node) index() *index {
	if n.derived == nil {
		n.derived = n.buildIndex()
	}
	return n.derived
}

func (n *Node) buildIndex() *index {
	x := &index{names: make([]string, 0, len(n.members))}
	for name := range n.members {
		x.names = append(x.names, name)
	}
	slices.Sort(x.names)
	x.live = make([]string, 0, len(x.names))
	for _, name := range x.names {
		m := n.members[name]
		if m.State.Terminal() {
			continue
		}
		x.live = append(x.live, name)
		if m.State == Suspect {
			x.suspects = append(x.suspects, name)
		}
		if m.ConfigVersion > max(x.best, n.self.ConfigVersion) {
			x.best, x.holder = m.ConfigVersion, name
		}
	}
	return x
}

// liveCount is the number of other members that are not terminal.
func (n *Node) liveCount() int { return len(n.index().live) }
