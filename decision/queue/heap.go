package queue

// indexedHeap is a binary min-heap that reports the index of each element, so that any
// element can be moved or removed in logarithmic time.
type indexedHeap[E any] struct {
	elems []E
	less  func(a, b E) bool
	// onMove is called with the new index of an element, -1 after its removal.
	onMove func(e E, index int)
}

func (h *indexedHeap[E]) len() int { return len(h.elems) }

func (h *indexedHeap[E]) min() E { return h.elems[0] }

func (h *indexedHeap[E]) push(e E) {
	h.elems = append(h.elems, e)
	h.onMove(e, len(h.elems)-1)
	h.up(len(h.elems) - 1)
}

// fix restores the heap order after the element at index changed.
func (h *indexedHeap[E]) fix(index int) {
	h.down(index)
	h.up(index)
}

func (h *indexedHeap[E]) remove(index int) {
	last := len(h.elems) - 1
	h.swap(index, last)
	removed := h.elems[last]
	var zero E
	h.elems[last] = zero
	h.elems = h.elems[:last]
	h.onMove(removed, -1)
	if index < last {
		h.fix(index)
	}
}

func (h *indexedHeap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.elems[i], h.elems[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[E]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.elems) {
			return
		}
		if child+1 < len(h.elems) && h.less(h.elems[child+1], h.elems[child]) {
			child++
		}
		if !h.less(h.elems[child], h.elems[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *indexedHeap[E]) swap(i, j int) {
	if i == j {
		return
	}
	h.elems[i], h.elems[j] = h.elems[j], h.elems[i]
	h.onMove(h.elems[i], i)
	h.onMove(h.elems[j], j)
}
