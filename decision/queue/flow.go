package queue

import "container/list"

// flow is a node of the tree root -> class -> organisation -> key. Each level uses
// start-time fair queueing (Goyal, Vin, Cheng, 1996): among the children of a node,
// the one with the lowest start tag is served next, which advances its tag by
// cost/weight.
type flow[T any] struct {
	name   string
	parent *flow[T]
	weight float64
	// startTag is the start tag of the next item in the parent's virtual time.
	startTag float64
	// sequence breaks ties between equal tags: first activated, first served.
	sequence uint64
	// activeIndex and idleIndex are the indexes in the parent's heaps, -1 if absent.
	activeIndex int
	idleIndex   int
	// count and cost are totals over all items queued below this node.
	count int
	cost  float64

	// Inner nodes only. active holds the children that can be served, idle those
	// without items.
	children    map[string]*flow[T]
	virtualTime float64
	active      indexedHeap[*flow[T]]
	idle        indexedHeap[*flow[T]]

	// Leaves only. suspended is the leaf's element in the list of suspended leaves; a
	// suspended leaf is skipped.
	items     list.List
	suspended *list.Element
}

func newFlow[T any](name string, parent *flow[T], weight float64) *flow[T] {
	f := &flow[T]{name: name, parent: parent, weight: weight, activeIndex: -1, idleIndex: -1}
	f.active = indexedHeap[*flow[T]]{less: startsEarlier[T], onMove: func(c *flow[T], i int) { c.activeIndex = i }}
	f.idle = indexedHeap[*flow[T]]{less: startsEarlier[T], onMove: func(c *flow[T], i int) { c.idleIndex = i }}
	return f
}

func startsEarlier[T any](a, b *flow[T]) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.sequence < b.sequence
}

// child returns the named child, creating it if needed. A new child starts at the
// current virtual time. Otherwise an organisation returning after an idle period could
// claim its share of everything served meanwhile and starve the others.
func (f *flow[T]) child(name string) *flow[T] {
	if c := f.children[name]; c != nil {
		return c
	}
	if f.children == nil {
		f.children = make(map[string]*flow[T])
	}
	c := newFlow(name, f, 1)
	c.startTag = f.virtualTime
	f.children[name] = c
	f.idle.push(c)
	return c
}

// addItem adds an item to the totals of all flows from a leaf to the root and activates
// those that were empty.
func (f *flow[T]) addItem(cost float64, sequence uint64) {
	for n := f; n != nil; n = n.parent {
		if n.count == 0 {
			n.sequence = sequence
		}
		n.count++
		n.cost += cost
		n.updateHeaps()
	}
}

// removeItem reverses addItem.
func (f *flow[T]) removeItem(cost float64) {
	for n := f; n != nil; n = n.parent {
		n.count--
		n.cost -= cost
		if n.count == 0 {
			// Discard the rounding error accumulated over many additions.
			n.cost = 0
		}
		n.updateHeaps()
	}
}

// ready reports whether an item below can be served.
func (f *flow[T]) ready() bool {
	return f.active.len() > 0 || (f.items.Len() > 0 && f.suspended == nil)
}

// updateHeaps adds the flow to its parent's heaps, or removes it from them, according
// to its state.
func (f *flow[T]) updateHeaps() {
	if f.parent == nil {
		return
	}
	if f.ready() && f.activeIndex < 0 {
		f.startTag = max(f.startTag, f.parent.virtualTime)
		f.parent.active.push(f)
	}
	if !f.ready() && f.activeIndex >= 0 {
		f.parent.active.remove(f.activeIndex)
	}
	if f.count > 0 && f.idleIndex >= 0 {
		f.parent.idle.remove(f.idleIndex)
	}
	if f.count == 0 && f.idleIndex < 0 {
		f.parent.idle.push(f)
	}
}

// charge advances the start tags from a leaf to the root by cost, which is negative for
// a refund.
func (f *flow[T]) charge(cost float64) {
	for n := f; n.parent != nil; n = n.parent {
		n.startTag += cost / n.weight
		n.fixHeaps()
	}
}

// fixHeaps restores the order of the parent's heaps after the start tag changed.
func (f *flow[T]) fixHeaps() {
	if f.activeIndex >= 0 {
		f.parent.active.fix(f.activeIndex)
	}
	if f.idleIndex >= 0 {
		f.parent.idle.fix(f.idleIndex)
	}
}

// removeChildren removes all children of a flow without items.
func (f *flow[T]) removeChildren() {
	if len(f.children) == 0 {
		return
	}
	f.children = nil
	f.idle.elems = nil
}

// nextLeaf returns the leaf to serve next and advances the virtual time of each flow
// above it.
func (f *flow[T]) nextLeaf() *flow[T] {
	n := f
	for n.active.len() > 0 {
		n = n.advanceTo(n.active.min())
	}
	return n
}

// advanceTo advances the virtual time to the start tag of the child to serve next, and
// returns the child.
func (f *flow[T]) advanceTo(c *flow[T]) *flow[T] {
	f.virtualTime = max(f.virtualTime, c.startTag)
	f.removeIdle()
	return c
}

// removeIdle removes empty children whose start tag the virtual time has reached, so
// that memory grows with the active organisations only.
func (f *flow[T]) removeIdle() {
	if f.parent == nil {
		return
	}
	for f.idle.len() > 0 && f.idle.min().startTag <= f.virtualTime {
		c := f.idle.min()
		f.idle.remove(c.idleIndex)
		delete(f.children, c.name)
	}
}

// lead is how far, in virtual time, the flow has been served ahead of its siblings.
func (f *flow[T]) lead() float64 { return max(0, f.startTag-f.parent.virtualTime) }
