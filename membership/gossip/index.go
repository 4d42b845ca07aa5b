package gossip

import "slices"

// index holds values derived from the records. It is rebuilt only after a change, so
// that the twenty ticks a second don't iterate over all members of a large fleet in
// which nothing changes.
type index struct {
	// names are the sorted names of the other members, which makes packets
	// independent of the iteration order of the map; live are those whose state is
	// not terminal.
	names    []string
	live     []string
	suspects []string
	// highestVersion is the highest configuration version of the live members if it
	// is above this instance's own, otherwise 0. highestHolder is a member that has
	// it, otherwise empty.
	highestVersion uint64
	highestHolder  string
}

// markUpdated invalidates the index and sets the event after a record changed.
func (n *Node) markUpdated() {
	n.cachedIndex = nil
	n.events.RecordsUpdated = true
}

func (n *Node) index() *index {
	if n.cachedIndex == nil {
		n.cachedIndex = n.buildIndex()
	}
	return n.cachedIndex
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
		if m.ConfigVersion > max(x.highestVersion, n.self.ConfigVersion) {
			x.highestVersion, x.highestHolder = m.ConfigVersion, name
		}
	}
	return x
}

// liveCount returns the number of other members whose state is not terminal.
func (n *Node) liveCount() int { return len(n.index().live) }
