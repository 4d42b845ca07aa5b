package gossip

// filter is a Bloom filter of record hashes. It tells the receiver in one datagram
// which records the sender has, so that the answer contains only others. Each
// request uses a different salt, so that a record hidden by a false positive is
// found by the next request.
type filter []byte

const (
	// filterHashCount is the number of bits set for each record. With one byte of
	// filter for each record, 5 bits give about 2 % false positives.
	filterHashCount = 5
	// maxFilterBytes keeps a sync request within one datagram. With more records
	// than that, false positives increase and a sync takes more rounds.
	maxFilterBytes = 1000
)

func newFilter(records int) filter {
	return make(filter, min(records+1, maxFilterBytes))
}

func (f filter) add(hash uint64, salt uint32) {
	f.visitBits(hash, salt, func(index int, bit byte) bool {
		f[index] |= bit
		return true
	})
}

// mayContain reports whether the filter may contain the hash. A filter of length 0
// contains none.
func (f filter) mayContain(hash uint64, salt uint32) bool {
	if len(f) == 0 {
		return false
	}
	return f.visitBits(hash, salt, func(index int, bit byte) bool { return f[index]&bit != 0 })
}

// visitBits calls visit for each bit of the hash until it returns false. It reports
// whether all calls returned true.
func (f filter) visitBits(hash uint64, salt uint32, visit func(index int, bit byte) bool) bool {
	h := mix(hash, uint64(salt))
	step := h>>32 | 1
	for range filterHashCount {
		position := h % uint64(len(f)*8)
		if !visit(int(position/8), 1<<(position%8)) {
			return false
		}
		h += step
	}
	return true
}
