package instance

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// An instance with port 0 must not fail to start because the assigned TCP port is in use for UDP.
func TestPortZeroIsRetriedWhenUDPPortIsInUse(t *testing.T) {
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	candidates := []string{other.LocalAddr().String(), "127.0.0.1:0"}
	bound, err := listenPeers("127.0.0.1:0", func(network, _ string) (net.Listener, error) {
		address := candidates[0]
		candidates = candidates[1:]
		return net.Listen(network, address)
	})
	assert.NilError(t, err)
	defer bound.listener.Close()
	defer bound.packetConn.Close()
	assert.Equal(t, bound.listener.Addr().String(), bound.packetConn.LocalAddr().String())
}

// An instance whose configured port is in use must fail to start instead of listening on another
// port.
func TestConfiguredPortIsNotRetried(t *testing.T) {
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	_, err = listenPeers(other.LocalAddr().String(), net.Listen)
	assert.ErrorContains(t, err, "address already in use")
}
