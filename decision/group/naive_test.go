package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// naive is first come, first served, round robin, without reservation or refusal.
type naive struct {
	kind    object.Kind
	entries []string
	next    int
	ids     uint64
}

func newNaive(kind object.Kind, ups []Upstream) *naive {
	n := &naive{kind: kind}
	for _, u := range ups {
		if u.Role != object.RoleDecode {
			n.entries = append(n.entries, u.Name)
		}
	}
	return n
}

func (n *naive) Submit(now time.Time, req Request) []Decision {
	n.ids++
	entry := n.entries[n.next%len(n.entries)]
	n.next++
	grant := &Grant{ID: n.ids, RequestID: req.ID, Prefill: entry, TransferAfter: now}
	if n.kind == object.KindPlain {
		grant.Prefill, grant.Decode = "", entry
	}
	return []Decision{{RequestID: req.ID, Grant: grant}}
}

func (n *naive) PrefillDone(time.Time, uint64) []Decision      { return nil }
func (n *naive) Release(time.Time, uint64, Outcome) []Decision { return nil }
func (n *naive) Advance(time.Time) ([]Decision, time.Time)     { return nil, time.Time{} }
