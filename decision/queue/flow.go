package queue

import "container/list"

// flow is a node of the tree root -> class -> organisation -> key. Among the
// children of a node, the one with the least start tag is served next; serving
// advances its tag by cost/weight. That is start-time fair queueing (Goyal, Vin,
// Cheng, 1996) at each level.
type flow[T any] struct {
	name   string
	parent *flow[T]
	weight float64
	// tag is the start tag of the next item in the parent's virtual time.
	tag float64
	// order breaks ties between tags: first activated, first served.
	order uint64
	// activeAt and idleAt are the indexes in the parent's heaps, -1 for none.
	activeAt int
	idleAt   int
	// count and cost of all items queued below.
	count int
	cost  float64

	// Inner nodes only.
	children map[string]*flow[T]
	virtual  float64
	active   indexedHeap[*flow[T]]
	idle     indexedHeap[*flow[T]]

	// Leaves only. A leaf with a place in the list of suspended ones is passed over.
	items     list.List
	suspended *list.Element
}

func newFlow[T any](name string, parent *flow[T], weight float64) *flow[T] {
	f := &flow[T]{name: name, parent: parent, weight: weight, activeAt: -1, idleAt: -1}
	f.active = indexedHeap[*flow[T]]{less: earlier[T], moved: func(c *flow[T], i int) { c.activeAt = i }}
	f.idle = indexedHeap[*flow[T]]{less: earlier[T], moved: func(c *flow[T], i int) { c.idleAt = i }}
	return f
}

func earlier[T any](a, b *flow[T]) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.order < b.order
}

// child returns the named child and makes it if needed. A new child starts at
// the present virtual time: without that, an organisation that was away would
// come back with a claim on everything served meanwhile and shut out the others.
func (f *flow[T]) child(name string) *flow[T] {
	if c := f.children[name]; c != nil {
		return c
	}
	if f.children == nil {
		f.children = make(map[string]*flow[T])
	}
	c := newFlow(name, f, 1)
	c.tag = f.virtual
	f.children[name] = c
	f.idle.push(c)
	return c
}

// add counts an item on the way from a leaf to the root and activates flows that
// were empty.
func (f *flow[T]) add(cost float64, order uint64) {
	for n := f; n != nil; n = n.parent {
		if n.count == 0 {
			n.order = order
		}
		n.count++
		n.cost += cost
		n.refresh()
	}
}

// drop is the reverse of add.
func (f *flow[T]) drop(cost float64) {
	for n := f; n != nil; n = n.parent {
		n.count--
		n.cost -= cost
		if n.count == 0 {
			// Sums of many costs leave a rounding rest.
			n.cost = 0
		}
		n.refresh()
	}
}

// ready reports whether an item below can be served.
func (f *flow[T]) ready() bool {
	return f.active.len() > 0 || (f.items.Len() > 0 && f.suspended == nil)
}

// refresh moves the flow to the heap of its parent where it belongs.
func (f *flow[T]) refresh() {
	if f.parent == nil {
		return
	}
	if f.ready() && f.activeAt < 0 {
		f.tag = max(f.tag, f.parent.virtual)
		f.parent.active.push(f)
	}
	if !f.ready() && f.activeAt >= 0 {
		f.parent.active.remove(f.activeAt)
	}
	if f.count > 0 && f.idleAt >= 0 {
		f.parent.idle.remove(f.idleAt)
	}
	if f.count == 0 && f.idleAt < 0 {
		f.parent.idle.push(f)
	}
}

// charge advances the tags from a leaf to the root by cost, which is negative
// for a refund.
func (f *flow[T]) charge(cost float64) {
	for n := f; n.parent != nil; n = n.parent {
		n.tag += cost / n.weight
		n.reorder()
	}
}

// reorder restores the order of the parent's heap after the tag changed.
func (f *flow[T]) reorder() {
	if f.activeAt >= 0 {
		f.parent.active.fix(f.activeAt)
	}
	if f.idleAt >= 0 {
		f.parent.idle.fix(f.idleAt)
	}
}

// forgetChildren drops all children of a flow without items.
func (f *flow[T]) forgetChildren() {
	if len(f.children) == 0 {
		return
	}
	f.children = nil
	f.idle.elems = nil
}

// next walks to the leaf that is served next and advances virtual times.
func (f *flow[T]) next() *flow[T] {
	n := f
	for n.active.len() > 0 {
		n = n.advanceTo(n.active.min())
	}
	return n
}

// advanceTo moves the virtual time to the start tag of the child served next.
func (f *flow[T]) advanceTo(c *flow[T]) *flow[T] {
	f.virtual = max(f.virtual, c.tag)
	f.forgetIdle()
	return c
}

// forgetIdle drops empty children that owe nothing, so that memory follows the
// organisations in use and not all that ever came.
func (f *flow[T]) forgetIdle() {
	if f.parent == nil {
		return
	}
	for f.idle.len() > 0 && f.idle.min().tag <= f.virtual {
		c := f.idle.min()
		f.idle.remove(c.idleAt)
		delete(f.children, c.name)
	}
}

// lead is how far the flow has been served beyond its siblings.
func (f *flow[T]) lead() float64 { return max(0, f.tag-f.parent.virtual) }
