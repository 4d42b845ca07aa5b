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

// PreferenceLead is how many engine-seconds an organisation with interactive
// requests may be served beyond one whose deferrable requests wait. It lets a
// burst of lookups go first (three seconds of ten engines), and keeps an
// organisation that sends several times its rate as interactive from taking the
// share of others whose requests are deferrable; docs/LOAD.md has the sweep.
const PreferenceLead = 30.0

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
	lead        float64
	root        *flow[T]
	interactive *flow[T]
	deferrable  *flow[T]
	byID        map[string]*Item[T]
	expiry      indexedHeap[*Item[T]]
	orders      uint64
	suspended   list.List
}

// New returns an empty queue; see DeferrableShare, between 0 and 1, and
// PreferenceLead, in engine-seconds.
func New[T any](deferrableShare, preferenceLead float64) *Queue[T] {
	root := newFlow[T]("", nil, 1)
	q := &Queue[T]{
		lead:        preferenceLead,
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
// is empty or all its keys are suspended.
func (q *Queue[T]) Pop() *Item[T] {
	if !q.Ready() {
		return nil
	}
	leaf := q.nextClass().next()
	it := leaf.items.Front().Value.(*Item[T])
	leaf.charge(it.Cost)
	q.chargeOther(it.Class, it.Organisation, it.Cost)
	q.take(it)
	return it
}

// nextClass is the root, which picks the class by its share, or the deferrable
// class when the next interactive request's organisation is too far ahead.
func (q *Queue[T]) nextClass() *flow[T] {
	if q.interactive.active.len() == 0 || q.deferrable.active.len() == 0 {
		return q.root
	}
	first := q.interactive.active.min()
	account := q.deferrable.children[first.name]
	if account == nil || account.tag-q.deferrable.active.min().tag <= q.lead {
		return q.root
	}
	return q.root.advanceTo(q.deferrable)
}

// chargeOther carries the charge of an interactive request over to its
// organisation's place among the deferrable ones, while any of those wait. An
// organisation's drafts then make up for what its lookups took, and equal shares
// hold for both classes together. The reverse is not done: drafts that filled
// idle time must not delay lookups later.
func (q *Queue[T]) chargeOther(class request.Class, organisation string, cost float64) {
	if class == request.Deferrable || q.deferrable.count == 0 {
		return
	}
	org := q.deferrable.child(organisation)
	org.tag += cost
	org.reorder()
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
	leaf := it.leaf
	if leaf.suspended != nil && leaf.items.Front() == it.elem {
		q.resume(leaf)
	}
	leaf.items.Remove(it.elem)
	leaf.drop(it.Cost)
	if q.deferrable.count == 0 {
		// What was carried over counts while deferrable requests compete; kept
		// longer, it would shut out organisations that used idle time.
		q.deferrable.forgetChildren()
	}
	delete(q.byID, it.ID)
	q.expiry.remove(it.expiryAt)
	it.leaf, it.elem = nil, nil
}

// Requeue puts an item that Pop gave, and that cannot be served now, back before
// the others of its key, takes its charge back, and suspends the key until Resume
// or until the item is taken out. Other keys are then served meanwhile: without
// that, one large request would hold up all that come after it in the fair order.
func (q *Queue[T]) Requeue(it *Item[T]) {
	it.leaf = q.class(it.Class).child(it.Organisation).child(it.Key)
	it.leaf.charge(-it.Cost)
	q.chargeOther(it.Class, it.Organisation, -it.Cost)
	it.elem = it.leaf.items.PushFront(it)
	if it.leaf.suspended == nil {
		it.leaf.suspended = q.suspended.PushBack(it.leaf)
	}
	it.leaf.add(it.Cost, it.order)
	q.byID[it.ID] = it
	q.expiry.push(it)
}

// Resume ends the longest suspension and reports whether there was one.
func (q *Queue[T]) Resume() bool {
	if q.suspended.Len() == 0 {
		return false
	}
	q.resume(q.suspended.Front().Value.(*flow[T]))
	return true
}

func (q *Queue[T]) resume(leaf *flow[T]) {
	q.suspended.Remove(leaf.suspended)
	leaf.suspended = nil
	for n := leaf; n != nil; n = n.parent {
		n.refresh()
	}
}

// AdjustCharge corrects the charge of an item taken earlier by more engine-seconds,
// negative for a refund.
func (q *Queue[T]) AdjustCharge(class request.Class, organisation, key string, more float64) {
	c := q.class(class)
	if more <= 0 && c.children[organisation] == nil {
		return
	}
	c.child(organisation).child(key).charge(more)
	q.chargeOther(class, organisation, more)
}
