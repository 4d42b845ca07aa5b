package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// roundRobinBaseline grants requests in order of arrival, round robin over the
// upstreams, without reservations or refusals.
type roundRobinBaseline struct {
	kind      object.Kind
	upstreams []string
	next      int
	lastID    uint64
}

func newBaseline(kind object.Kind, ups []Upstream) *roundRobinBaseline {
	b := &roundRobinBaseline{kind: kind}
	for _, u := range ups {
		if u.Role != object.RoleDecode {
			b.upstreams = append(b.upstreams, u.Name)
		}
	}
	return b
}

func (b *roundRobinBaseline) Submit(now time.Time, req Request) []Decision {
	b.lastID++
	upstream := b.upstreams[b.next%len(b.upstreams)]
	b.next++
	grant := &Grant{ID: b.lastID, RequestID: req.ID, Prefill: upstream, TransferAfter: now}
	if b.kind == object.KindPlain {
		grant.Prefill, grant.Decode = "", upstream
	}
	return []Decision{{RequestID: req.ID, Grant: grant}}
}

func (b *roundRobinBaseline) PrefillDone(time.Time, uint64) []Decision      { return nil }
func (b *roundRobinBaseline) Release(time.Time, uint64, Outcome) []Decision { return nil }
func (b *roundRobinBaseline) Advance(time.Time) ([]Decision, time.Time)     { return nil, time.Time{} }
