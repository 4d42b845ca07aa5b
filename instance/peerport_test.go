package instance

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an instance that ends at its start since the port it drew is taken for datagrams.
func TestOpenPortIsDrawnAgainWhenItsDatagramsAreTaken(t *testing.T) {
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	drawn := []string{other.LocalAddr().String(), "127.0.0.1:0"}
	bound, err := listenPeers("127.0.0.1:0", func(network, _ string) (net.Listener, error) {
		address := drawn[0]
		drawn = drawn[1:]
		return net.Listen(network, address)
	})
	assert.NilError(t, err)
	defer bound.streams.Close()
	defer bound.datagrams.Close()
	assert.Equal(t, bound.streams.Addr().String(), bound.datagrams.LocalAddr().String())
}

// Guards against an instance that listens elsewhere than its settings say.
func TestGivenPortIsNotDrawnAgain(t *testing.T) {
	other, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer other.Close()
	_, err = listenPeers(other.LocalAddr().String(), net.Listen)
	assert.ErrorContains(t, err, "address already in use")
}
