package object

import (
	"crypto/sha256"
	"encoding/hex"
)

// hashLength is the length of a hexadecimal SHA-256.
const hashLength = 2 * sha256.Size

// HashKey returns the lower-case hexadecimal SHA-256 of a key, the only form in which a
// key is published or stored. An unsalted hash is sufficient because keys are random,
// which rules out dictionary attacks.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// validHash reports whether s has the format of a result of HashKey.
func validHash(s string) bool {
	if len(s) != hashLength {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
