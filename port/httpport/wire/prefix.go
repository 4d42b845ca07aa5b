package wire

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of a block of the prefix cache. 2,048 bytes are
// some 400 tokens of prose: far below the shared prefixes of thousands of tokens
// that are worth a placement, so that rounding down to a block loses little.
const PrefixBlockBytes = 2048

// PrefixHashes returns the hashes under which engines report cached prefixes:
// XXH64 over the prompt's first 1, 2, 3, ... whole blocks, shortest first.
func PrefixHashes(prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	digest := xxhash.New()
	for i := range blocks {
		// Digest.WriteString never fails.
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
