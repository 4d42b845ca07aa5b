package loopback

import (
	"os"
	"strings"
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

// Guards against two runs beside one another that are given the same port, so that an instance of
// the one never starts.
func TestProcessesDrawFromHostsOfTheirOwn(t *testing.T) {
	seen := make(map[string]bool)
	const processes, step = 1 << 22, 61
	for pid := 0; pid < processes; pid += step {
		seen[hostOf(pid)] = true
	}
	assert.Equal(t, len(seen), (processes+step-1)/step)
	address, err := FreeAddress()
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(address, hostOf(os.Getpid())+":"), address)
}
