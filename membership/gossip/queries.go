package gossip

import (
	"slices"
	"strings"
)

// Self returns this instance's own record.
func (n *Node) Self() Record { return n.self }

// All returns every record, this instance's and terminal ones included, by name.
func (n *Node) All() []Record {
	all := make([]Record, 0, len(n.members)+1)
	all = append(all, n.self)
	for _, m := range n.members {
		all = append(all, m.Record)
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// names returns the other members' names in order, so that the same inputs give
// the same packets whatever the order of the map.
func (n *Node) names() []string {
	names := make([]string, 0, len(n.members))
	for name := range n.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (n *Node) liveNames() []string {
	names := n.names()
	return slices.DeleteFunc(names, func(name string) bool { return n.members[name].State.Terminal() })
}

func (n *Node) suspects() []string {
	var names []string
	for name, m := range n.members {
		if m.State == Suspect {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// liveCount is the number of other members that are not terminal.
func (n *Node) liveCount() int {
	count := 0
	for _, m := range n.members {
		if !m.State.Terminal() {
			count++
		}
	}
	return count
}
