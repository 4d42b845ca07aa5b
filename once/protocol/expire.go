package protocol

import "time"

// Expire removes intents in the order they were read: those read before the given time, and those
// that were read while catching up and have since been dropped by the log (offset below first).
// This limits the size of the index to one window, and that of a new reader to the log's
// retention.
//
// It returns the number of records that the log dropped although this reader saw them appended
// within the window. In this case the log's retention is too short, and a new reader would not
// know these keys.
func (x *Index) Expire(before time.Time, first uint64) (droppedEarly int) {
	dropped := 0
	for dropped < len(x.expiryQueue) {
		e := x.expiryQueue[dropped]
		expired := e.readAt.Before(before)
		if !expired && (e.atEnd || e.offset >= first) {
			break
		}
		x.remove(e)
		dropped++
	}
	if dropped > 0 {
		x.expiryQueue = append(x.expiryQueue[:0:0], x.expiryQueue[dropped:]...)
	}
	for _, e := range x.expiryQueue {
		if e.offset >= first {
			break
		}
		droppedEarly++
	}
	return droppedEarly
}

func (x *Index) remove(e expiryEntry) {
	list := x.keys[e.key]
	for i := range list {
		if list[i].ID == e.id {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(x.keys, e.key)
		return
	}
	x.keys[e.key] = list
}
