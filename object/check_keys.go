package object

import "fmt"

// emptyKeyHash is the hash of the empty string. If it were published, callers with an
// empty bearer token would be authenticated.
var emptyKeyHash = HashKey("")

// checkKeys checks the hash of every key and that hashes are unique. With a shared hash
// a caller could be attributed to either of two organisations.
func (c *checker) checkKeys() {
	seen := make(map[string]Ref, len(c.set.Keys))
	for _, k := range c.set.Keys {
		ref := Ref{TypeKey, k.Name}
		if !validHash(k.Hash) {
			// The value is omitted: it may be the key itself, entered here by mistake.
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "hash", Given: fmt.Sprintf("%d characters", len(k.Hash)),
				Allowed: "the SHA-256 of the key as 64 lower-case hexadecimal digits"})
			continue
		}
		if k.Hash == emptyKeyHash {
			c.add(Fault{Kind: FaultBadValue, Object: ref, Field: "hash", Given: "the hash of an empty key", Allowed: "the hash of a key"})
			continue
		}
		if other, taken := seen[k.Hash]; taken {
			c.add(Fault{Kind: FaultDuplicate, Object: ref, Other: other, Field: "hash", Allowed: "each hash in one key"})
			continue
		}
		seen[k.Hash] = ref
	}
}
