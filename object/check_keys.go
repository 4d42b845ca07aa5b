package object

import "fmt"

// emptyKeyHash is the hash of no key at all. Published, it would let callers in
// that send an empty bearer token.
var emptyKeyHash = HashKey("")

// keys checks every key's hash and that no two keys share one. A shared hash
// would let one caller act for either of two organisations.
func (c *checker) keys() {
	hashes := make(map[string]Ref, len(c.set.Keys))
	for _, k := range c.set.Keys {
		ref := Ref{TypeKey, k.Name}
		if !validHash(k.Hash) {
			// The value itself is left out: it may be the key, put here by mistake.
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "hash", Given: fmt.Sprintf("%d characters", len(k.Hash)),
				Allowed: "the SHA-256 of the key as 64 lower-case hexadecimal digits"})
			continue
		}
		if k.Hash == emptyKeyHash {
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "hash", Given: "the hash of an empty key", Allowed: "the hash of a key"})
			continue
		}
		if other, taken := hashes[k.Hash]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "hash", Allowed: "each hash in one key"})
			continue
		}
		hashes[k.Hash] = ref
	}
}
