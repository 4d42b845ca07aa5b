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

// Digest is equal at two nodes that hold the same records, suspicions aside.
func (n *Node) Digest() uint32 { return n.table.digest() }
