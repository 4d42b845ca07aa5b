package queue

import (
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// Len is the number of queued items of a class.
func (q *Queue[T]) Len(class request.Class) int { return q.class(class).count }

// Ready reports whether Pop would return an item.
func (q *Queue[T]) Ready() bool { return q.root.active.len() > 0 }

// Cost is the estimated engine time, in seconds, of all queued items of a class.
func (q *Queue[T]) Cost(class request.Class) float64 { return q.class(class).cost }

// OrganisationCost is the estimated engine time, in seconds, of an organisation's
// queued items of a class.
func (q *Queue[T]) OrganisationCost(class request.Class, organisation string) float64 {
	if org := q.class(class).children[organisation]; org != nil {
		return org.cost
	}
	return 0
}

// NextExpiry is the earliest LatestStart of all items, or zero if the queue is empty.
func (q *Queue[T]) NextExpiry() time.Time {
	if q.expiry.len() == 0 {
		return time.Time{}
	}
	return q.expiry.min().LatestStart
}

// WorkAhead estimates the engine time, in seconds, that is served before a new item of
// the given cost within its class. The queued items of its own key are served first.
// The other keys of its organisation, and the other organisations, get at most as much
// as the item's own key or organisation, and at most what they have queued. The
// estimate does not iterate over other items or organisations.
func (q *Queue[T]) WorkAhead(class request.Class, organisation, key string, cost float64) float64 {
	c := q.class(class)
	org := c.children[organisation]
	if org == nil {
		return min(c.cost, float64(c.active.len())*cost)
	}
	own := org.workAhead(key, cost)
	others := float64(c.active.len())
	if org.count > 0 {
		others--
	}
	return own + min(c.cost-org.cost, others*(org.lead()+own+cost))
}

// workAhead is WorkAhead among the keys of one organisation.
func (f *flow[T]) workAhead(key string, cost float64) float64 {
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
