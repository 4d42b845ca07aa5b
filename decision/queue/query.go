package queue

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Len is the number of items of a class.
func (q *Queue[T]) Len(class request.Class) int { return q.class(class).count }

// Ready reports whether Pop would yield an item.
func (q *Queue[T]) Ready() bool { return q.root.active.len() > 0 }

// Cost is the engine time in seconds of all items of a class.
func (q *Queue[T]) Cost(class request.Class) float64 { return q.class(class).cost }

// OrganisationCost is the engine time in seconds of an organisation's items of a
// class.
func (q *Queue[T]) OrganisationCost(class request.Class, organisation string) float64 {
	if org := q.class(class).children[organisation]; org != nil {
		return org.cost
	}
	return 0
}

// NextExpiry is the earliest latest start; zero if the queue is empty.
func (q *Queue[T]) NextExpiry() time.Time {
	if q.expiry.len() == 0 {
		return time.Time{}
	}
	return q.expiry.min().LatestStart
}

// WorkAhead estimates the engine time in seconds that is served before a new item of
// the given cost, within its class. Its own key's items go first; the other keys
// of its organisation, and then the other organisations, are served at most as
// much as the item's own side, and never more than they have queued. It looks at
// no other item and no other organisation.
func (q *Queue[T]) WorkAhead(class request.Class, organisation, key string, cost float64) float64 {
	c := q.class(class)
	org := c.children[organisation]
	if org == nil {
		return min(c.cost, float64(c.active.len())*cost)
	}
	own := org.ahead(key, cost)
	others := float64(c.active.len())
	if org.count > 0 {
		others--
	}
	return own + min(c.cost-org.cost, others*(org.lead()+own+cost))
}

func (f *flow[T]) ahead(key string, cost float64) float64 {
	k := f.children[key]
	if k == nil {
		return min(f.cost, float64(f.active.len())*cost)
	}
	others := float64(f.active.len())
	if k.count > 0 {
		others--
	}
	return k.cost + min(f.cost-k.cost, others*(k.lead()+k.cost+cost))
}
