package port

import "errors"

// A position in a topic consists of an era of the store and an offset. The store may come back from a copy that lacks
// the newest records: its era rises then, the offsets of what it lacks are given out again, and a position of an earlier
// era says nothing about the topic any more. Positions are ordered by era first, so that they never fall.
const offsetBits = 40

// MaxOffset and MaxEra are the highest offset and era that positions can hold.
const (
	MaxOffset = 1<<offsetBits - 1
	MaxEra    = 1<<(64-offsetBits) - 1
)

// Position returns the position of an offset in an era.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 { return position >> offsetBits }

// OffsetOf returns the offset of a position.
func OffsetOf(position uint64) uint64 { return position & MaxOffset }

// EraStart returns the first position of the era of a position.
func EraStart(position uint64) uint64 { return position &^ MaxOffset }

// ErrNewEra is returned if a position is of another era than the store. The caller must read the newest record of
// each key instead. A conditional write may have taken effect in the era of the store.
var ErrNewEra = errors.New("the store has come back from a copy; the position is of another era")
