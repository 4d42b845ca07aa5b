package loopback

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against giving two processes of a run the same port, with which the second one fails to
// start.
func TestAddressesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		address, err := FreeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], address)
		seen[address] = true
	}
}

// Guards against giving two concurrent runs the same port, with which an instance of one of them
// fails to start.
func TestProcessesUseDistinctHosts(t *testing.T) {
	seen := make(map[string]bool)
	const processes, step = 1 << 22, 61
	for pid := 0; pid < processes; pid += step {
		seen[loopbackHost(pid)] = true
	}
	assert.Equal(t, len(seen), (processes+step-1)/step)
	address, err := FreeAddress()
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(address, loopbackHost(os.Getpid())+":"), address)
}
