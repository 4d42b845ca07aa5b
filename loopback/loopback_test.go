package loopback

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two processes of one run that are given the same port, of which the second never
// starts.
func TestAddressesAreDrawnOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}
