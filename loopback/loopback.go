// Package loopback draws addresses on this machine for processes that are told their ports, as
// those of the soak and of tests are.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports lie below those that the system gives to outgoing connections, of which a run opens
// thousands: a port that is free now would be taken by one of them before a process listens, or
// while it restarts.
const (
	firstPort = 15_000
	ports     = 15_000
	portTries = 50
)

// FreeAddress returns an address at which nobody listens for streams or datagrams. Another run
// may take it before it is used.
func FreeAddress() (string, error) {
	var last error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if last = probe(address); last == nil {
			return address, nil
		}
	}
	return "", last
}

func probe(address string) error {
	streams, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	datagrams, err := net.ListenPacket("udp4", address)
	if err != nil {
		_ = streams.Close()
		return err
	}
	_ = datagrams.Close()
	return streams.Close()
}
