package instance

import (
	"errors"
	"net"
)

// maxPortTries limits the search for a port that is free for both TCP and UDP.
const maxPortTries = 32

// peerSockets are the TCP and the UDP socket of the address for other instances. Both have the same
// port.
type peerSockets struct {
	listener   net.Listener
	packetConn net.PacketConn
}

// listenPeers binds the address for other instances. The system assigns TCP and UDP ports
// independently, so with port 0 the assigned TCP port may be in use for UDP. In that case,
// listenPeers retries with another port.
func listenPeers(address string, listen func(network, address string) (net.Listener, error)) (peerSockets, error) {
	tries := 1
	if _, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		tries = maxPortTries
	}
	var errs []error
	for range tries {
		listener, err := listen("tcp", address)
		if err != nil {
			return peerSockets{}, err
		}
		packetConn, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return peerSockets{listener: listener, packetConn: packetConn}, nil
		}
		errs = append(errs, err, listener.Close())
	}
	return peerSockets{}, errors.Join(errs...)
}
