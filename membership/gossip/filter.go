package gossip

// filter is a Bloom filter of record hashes. It says in one datagram which
// records its sender holds, so that the answer brings only others. The salt
// differs from request to request: a record hidden by a false positive once is
// seen the next time.
type filter []byte

const (
	// filterProbes bits a record in a filter of one byte a record give about 2 %
	// false positives.
	filterProbes = 5
	// filterMaxBytes keeps a sync request within one datagram. Beyond as many
	// records false positives grow and sync takes more rounds.
	filterMaxBytes = 1000
)

func newFilter(records int) filter {
	return make(filter, min(records+1, filterMaxBytes))
}

func (f filter) add(hash uint64, salt uint32) {
	f.each(hash, salt, func(index int, bit byte) bool {
		f[index] |= bit
		return true
	})
}

// has reports whether the filter may hold the hash. An empty filter holds none.
func (f filter) has(hash uint64, salt uint32) bool {
	if len(f) == 0 {
		return false
	}
	return f.each(hash, salt, func(index int, bit byte) bool { return f[index]&bit != 0 })
}

// each visits the hash's bits until visit returns false and reports whether it
// never did.
func (f filter) each(hash uint64, salt uint32, visit func(index int, bit byte) bool) bool {
	h := mix(hash, uint64(salt))
	step := h>>32 | 1
	for range filterProbes {
		position := h % uint64(len(f)*8)
		if !visit(int(position/8), 1<<(position%8)) {
			return false
		}
		h += step
	}
	return true
}
