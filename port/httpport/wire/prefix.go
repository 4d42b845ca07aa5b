package wire

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockWords is the length of a block of the prefix cache in words. Engines
// of the kind served cache in blocks of 16 to 64 tokens; the coarsest of these
// keeps the number of hashes low.
const PrefixBlockWords = 64

// PrefixHashes returns the hashes under which engines report cached prefixes:
// XXH64 over the prompt's first 64, 128, 192, ... words, each followed by one
// space, shortest first. Words stand between white space.
func PrefixHashes(prompt string) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	words := 0
	for word := range strings.FieldsSeq(prompt) {
		words++
		// Digest.WriteString never fails.
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if words%PrefixBlockWords == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return hashes
}
