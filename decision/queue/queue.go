package queue

import (
	"container/list"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// DeferrableShare is the part of the engine time that deferrable requests get
// while interactive ones wait too. A tenth keeps drafts moving (a draft of 20
// engine-seconds waits at most 200 engine-seconds of lookups) and costs the
// interactive ones little; docs/LOAD.md has the sweep.
const DeferrableShare = 0.1

// Item is one waiting request.
type Item[T any] struct {
	// ID is unique in the queue.
	ID           string
	Organisation string
	Key          string
	Class        request.Class
	// Cost is the estimated engine time in seconds, above zero.
	Cost float64
	// LatestStart is when the item can no longer meet its deadline.
	LatestStart time.Time
	Value       T

	leaf     *flow[T]
	elem     *list.Element
	expiryAt int
	order    uint64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	root        *flow[T]
	interactive *flow[T]
	deferrable  *flow[T]
	byID        map[string]*Item[T]
	expiry      indexedHeap[*Item[T]]
	orders      uint64
}

// New returns an empty queue; deferrableShare is between 0 and 1, see
// DeferrableShare.
func New[T any](deferrableShare float64) *Queue[T] {
	root := newFlow[T]("", nil, 1)
	q := &Queue[T]{
		root:        root,
		interactive: newFlow("interactive", root, 1-deferrableShare),
		deferrable:  newFlow("deferrable", root, deferrableShare),
		byID:        make(map[string]*Item[T]),
	}
	q.expiry = indexedHeap[*Item[T]]{
		less: func(a, b *Item[T]) bool {
			if !a.LatestStart.Equal(b.LatestStart) {
				return a.LatestStart.Before(b.LatestStart)
			}
			return a.order < b.order
		},
		moved: func(it *Item[T], i int) { it.expiryAt = i },
	}
	return q
}

func (q *Queue[T]) class(c request.Class) *flow[T] {
	if c == request.Deferrable {
		return q.deferrable
	}
	return q.interactive
}

// Push adds an item behind the others of its key. An item with the same ID is
// replaced.
func (q *Queue[T]) Push(it *Item[T]) {
	q.Remove(it.ID)
	q.orders++
	it.order = q.orders
	it.leaf = q.class(it.Class).child(it.Organisation).child(it.Key)
	it.elem = it.leaf.items.PushBack(it)
	it.leaf.add(it.Cost, it.order)
	q.byID[it.ID] = it
	q.expiry.push(it)
}

// Pop takes the item that is served next and charges its cost; nil if the queue
// is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if q.root.count == 0 {
		return nil
	}
	leaf := q.root.next()
	it := leaf.items.Front().Value.(*Item[T])
	leaf.charge(it.Cost)
	q.take(it)
	return it
}

// PopExpired takes an item whose latest start has passed; nil if there is none.
// It is not charged.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if q.expiry.len() == 0 || q.expiry.min().LatestStart.After(now) {
		return nil
	}
	it := q.expiry.min()
	q.take(it)
	return it
}

// Remove takes out the item with an ID and reports whether there was one.
func (q *Queue[T]) Remove(id string) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.take(it)
	return true
}

func (q *Queue[T]) take(it *Item[T]) {
	it.leaf.items.Remove(it.elem)
	it.leaf.drop(it.Cost)
	delete(q.byID, it.ID)
	q.expiry.remove(it.expiryAt)
	it.leaf, it.elem = nil, nil
}

// Settle corrects the charge of an item taken earlier by more engine-seconds,
// negative for a refund.
func (q *Queue[T]) Settle(class request.Class, organisation, key string, more float64) {
	c := q.class(class)
	if more <= 0 && c.children[organisation] == nil {
		return
	}
	c.child(organisation).child(key).charge(more)
}
