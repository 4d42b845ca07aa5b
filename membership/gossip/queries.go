package gossip

import (
	"slices"
	"strings"
)

// Self returns the record of this instance.
func (n *Node) Self() Record { return n.self }

// All returns all records sorted by name, including terminal ones and that of this
// instance.
func (n *Node) All() []Record {
	all := make([]Record, 0, len(n.members)+1)
	all = append(all, n.self)
	for _, m := range n.members {
		all = append(all, m.Record)
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Digest returns a digest of all records. Nodes with the same records have the same
// digest; suspicions are not part of it.
func (n *Node) Digest() uint32 { return n.digest.value() }
