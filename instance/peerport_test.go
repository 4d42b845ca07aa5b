package instance

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// An instance with port 0 must not fail to start because the assigned TCP port is in use for UDP.
func TestPortZeroIsRetriedWhenUDPPortIsInUse(t *testing.T) {
	assigned, other := portInUseForUDP(t)
	bound, err := listenPeers("127.0.0.1:0", func(network, address string) (net.Listener, error) {
		if first := assigned; first != nil {
			assigned = nil
			return first, nil
		}
		return net.Listen(network, address)
	})
	assert.NilError(t, err)
	defer bound.listener.Close()
	defer bound.packetConn.Close()
	assert.Equal(t, bound.listener.Addr().String(), bound.packetConn.LocalAddr().String())
	assert.Assert(t, bound.packetConn.LocalAddr().String() != other.LocalAddr().String())
}

// portInUseForUDP returns a TCP listener and a UDP socket on the same port. Both are open, so that
// no other process can take the port in between.
func portInUseForUDP(t *testing.T) (net.Listener, net.PacketConn) {
	t.Helper()
	bound, err := listenPeers("127.0.0.1:0", net.Listen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = bound.packetConn.Close() })
	return bound.listener, bound.packetConn
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
