package queue

import (
	"container/list"
	"time"

	"github.com/cairnworks/cairnworks/request"
)

// DeferrableShare is the fraction of the engine time that deferrable requests get while
// interactive ones wait too. At a tenth, deferrable requests still progress (one of 20
// engine-seconds waits for at most 200 engine-seconds of interactive ones) and
// interactive ones are delayed little; docs/LOAD.md has the parameter sweep.
const DeferrableShare = 0.1

// PreferenceLead is the number of engine-seconds by which the service of an
// organisation with interactive requests may exceed that of one whose deferrable
// requests wait. It lets a burst of interactive requests go first (three seconds of ten
// engines), but prevents an organisation that sends interactive requests at several
// times its rate from taking the share of others whose requests are deferrable;
// docs/LOAD.md has the parameter sweep.
const PreferenceLead = 30.0

// Item is one waiting request.
type Item[T any] struct {
	// ID is unique in the queue.
	ID           string
	Organisation string
	Key          string
	Class        request.Class
	// Cost is the estimated engine time in seconds, greater than zero.
	Cost float64
	// LatestStart is the latest time at which a start still meets the deadline.
	LatestStart time.Time
	Value       T

	leaf        *flow[T]
	elem        *list.Element
	expiryIndex int
	sequence    uint64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue[T any] struct {
	preferenceLead float64
	root           *flow[T]
	interactive    *flow[T]
	deferrable     *flow[T]
	byID           map[string]*Item[T]
	expiry         indexedHeap[*Item[T]]
	lastSequence   uint64
	suspended      list.List
}

// New returns an empty queue. deferrableShare is between 0 and 1, preferenceLead is in
// engine-seconds; DeferrableShare and PreferenceLead are their defaults.
func New[T any](deferrableShare, preferenceLead float64) *Queue[T] {
	root := newFlow[T]("", nil, 1)
	q := &Queue[T]{
		preferenceLead: preferenceLead,
		root:           root,
		interactive:    newFlow("interactive", root, 1-deferrableShare),
		deferrable:     newFlow("deferrable", root, deferrableShare),
		byID:           make(map[string]*Item[T]),
	}
	q.expiry = indexedHeap[*Item[T]]{
		less: func(a, b *Item[T]) bool {
			if !a.LatestStart.Equal(b.LatestStart) {
				return a.LatestStart.Before(b.LatestStart)
			}
			return a.sequence < b.sequence
		},
		onMove: func(it *Item[T], i int) { it.expiryIndex = i },
	}
	return q
}

func (q *Queue[T]) class(c request.Class) *flow[T] {
	if c == request.Deferrable {
		return q.deferrable
	}
	return q.interactive
}

// Push appends an item to the items of its key. It replaces an item with the same ID.
func (q *Queue[T]) Push(it *Item[T]) {
	q.Remove(it.ID)
	q.lastSequence++
	it.sequence = q.lastSequence
	it.leaf = q.class(it.Class).child(it.Organisation).child(it.Key)
	it.elem = it.leaf.items.PushBack(it)
	it.leaf.addItem(it.Cost, it.sequence)
	q.byID[it.ID] = it
	q.expiry.push(it)
}

// Pop removes the item to serve next, charges its cost and returns it, or nil if the
// queue is empty or all its keys are suspended.
func (q *Queue[T]) Pop() *Item[T] {
	if !q.Ready() {
		return nil
	}
	leaf := q.nextRoot().nextLeaf()
	it := leaf.items.Front().Value.(*Item[T])
	leaf.charge(it.Cost)
	q.chargeDeferrable(it.Class, it.Organisation, it.Cost)
	q.detach(it)
	return it
}

// nextRoot returns the flow from which the next item is selected: the root, which
// selects the class by its share, or the deferrable class if the organisation of the
// next interactive request exceeds the preference lead.
func (q *Queue[T]) nextRoot() *flow[T] {
	if q.interactive.active.len() == 0 || q.deferrable.active.len() == 0 {
		return q.root
	}
	interactive := q.interactive.active.min()
	org := q.deferrable.children[interactive.name]
	if org == nil || org.startTag-q.deferrable.active.min().startTag <= q.preferenceLead {
		return q.root
	}
	return q.root.advanceTo(q.deferrable)
}

// chargeDeferrable also charges an interactive request to its organisation in the
// deferrable class while deferrable requests wait. Its deferrable requests then
// compensate for its interactive ones, and equal shares hold for both classes
// together. The reverse is not done: deferrable requests that used idle
// capacity must not delay interactive ones later.
func (q *Queue[T]) chargeDeferrable(class request.Class, organisation string, cost float64) {
	if class == request.Deferrable || q.deferrable.count == 0 {
		return
	}
	org := q.deferrable.child(organisation)
	org.startTag += cost
	org.fixHeaps()
}

// PopExpired removes and returns an item whose latest start has passed, or nil if there
// is none. The item is not charged.
func (q *Queue[T]) PopExpired(now time.Time) *Item[T] {
	if q.expiry.len() == 0 || q.expiry.min().LatestStart.After(now) {
		return nil
	}
	it := q.expiry.min()
	q.detach(it)
	return it
}

// Remove removes the item with the given ID and reports whether it was queued.
func (q *Queue[T]) Remove(id string) bool {
	it := q.byID[id]
	if it == nil {
		return false
	}
	q.detach(it)
	return true
}

// detach removes a queued item from its flow and the indexes.
func (q *Queue[T]) detach(it *Item[T]) {
	leaf := it.leaf
	if leaf.suspended != nil && leaf.items.Front() == it.elem {
		q.resume(leaf)
	}
	leaf.items.Remove(it.elem)
	leaf.removeItem(it.Cost)
	if q.deferrable.count == 0 {
		// Charges of interactive requests apply only while deferrable requests
		// compete. Kept longer, they would starve organisations that used idle
		// capacity.
		q.deferrable.removeChildren()
	}
	delete(q.byID, it.ID)
	q.expiry.remove(it.expiryIndex)
	it.leaf, it.elem = nil, nil
}

// Requeue returns an item from Pop that cannot be served now to the front of its key,
// refunds its charge, and suspends the key until Resume or until the item is removed.
// Other keys are served in the meantime, which avoids head-of-line blocking behind one
// large request.
func (q *Queue[T]) Requeue(it *Item[T]) {
	it.leaf = q.class(it.Class).child(it.Organisation).child(it.Key)
	it.leaf.charge(-it.Cost)
	q.chargeDeferrable(it.Class, it.Organisation, -it.Cost)
	it.elem = it.leaf.items.PushFront(it)
	if it.leaf.suspended == nil {
		it.leaf.suspended = q.suspended.PushBack(it.leaf)
	}
	it.leaf.addItem(it.Cost, it.sequence)
	q.byID[it.ID] = it
	q.expiry.push(it)
}

// Resume ends the suspension of the key suspended first and reports whether there was
// one.
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
		n.updateHeaps()
	}
}

// AdjustCharge adds engine-seconds to the charge of an item popped earlier; a negative
// number is a refund.
func (q *Queue[T]) AdjustCharge(class request.Class, organisation, key string, engineSeconds float64) {
	c := q.class(class)
	if engineSeconds <= 0 && c.children[organisation] == nil {
		return
	}
	c.child(organisation).child(key).charge(engineSeconds)
	q.chargeDeferrable(class, organisation, engineSeconds)
}
