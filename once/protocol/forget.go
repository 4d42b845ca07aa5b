package protocol

import "time"

// Forget drops intents in the order they were read: those read before the given
// time, and those that were read while catching up and that the log has dropped
// since (offset below first). It bounds the index by the window, and a fresh
// reader's by the log's own retention.
//
// It returns how many records the log dropped although this reader saw them
// appended within the window: the log then retains less than the promise needs,
// and a fresh reader would not know these keys.
func (x *Index) Forget(before time.Time, first uint64) (droppedEarly int) {
	kept := 0
	for kept < len(x.arrivals) {
		a := x.arrivals[kept]
		expired := a.readAt.Before(before)
		if !expired && (a.live || a.offset >= first) {
			break
		}
		x.drop(a)
		kept++
	}
	if kept > 0 {
		x.arrivals = append(x.arrivals[:0:0], x.arrivals[kept:]...)
	}
	for _, a := range x.arrivals {
		if a.offset >= first {
			break
		}
		droppedEarly++
	}
	return droppedEarly
}

func (x *Index) drop(a arrival) {
	list := x.keys[a.key]
	for i := range list {
		if list[i].ID == a.id {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(x.keys, a.key)
		return
	}
	x.keys[a.key] = list
}
