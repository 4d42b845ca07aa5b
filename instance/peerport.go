package instance

import (
	"errors"
	"net"
)

// portTries bounds the search for a port that is free for streams and for datagrams.
const portTries = 32

// peerSockets are the two sockets at the address for other instances, of the same port.
type peerSockets struct {
	streams   net.Listener
	datagrams net.PacketConn
}

// listenPeers binds the address for other instances. A port that is left open (0) is drawn anew
// while the drawn one is taken for datagrams, since the system hands out the ports of the two
// protocols apart.
func listenPeers(address string, listen func(network, address string) (net.Listener, error)) (peerSockets, error) {
	tries := 1
	if _, port, err := net.SplitHostPort(address); err == nil && port == "0" {
		tries = portTries
	}
	var taken []error
	for range tries {
		streams, err := listen("tcp", address)
		if err != nil {
			return peerSockets{}, err
		}
		datagrams, err := net.ListenPacket("udp", streams.Addr().String())
		if err == nil {
			return peerSockets{streams: streams, datagrams: datagrams}, nil
		}
		taken = append(taken, err, streams.Close())
	}
	return peerSockets{}, errors.Join(taken...)
}
