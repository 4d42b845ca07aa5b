// Package loopback draws addresses on this machine for processes that are told their ports, as
// those of the soak and of tests are.
package loopback

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Ports lie below those that the system gives to outgoing connections, of which a run opens
// thousands: a port that is free now would be taken by one of them before a process listens, or
// while it restarts.
const (
	firstPort = 15_000
	ports     = 15_000
	portTries = 50
)

// drawn are the ports that this process was given. Nobody listens at them yet, or while what uses
// them restarts.
var drawn = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// hostOf is the loopback host of a process's addresses. Processes that draw ports at one host can
// be given the same one, as nobody listens there yet.
func hostOf(pid int) string {
	const first = 64
	return fmt.Sprintf("127.%d.%d.%d", first|pid>>16&(first-1), pid>>8&0xff, pid&0xff)
}

// FreeAddress returns an address at which nobody listens for streams or datagrams, a different one
// each time. It is of a host that only this process draws from, where the system has more than one
// loopback host.
func FreeAddress() (string, error) {
	address, err := freeAt(hostOf(os.Getpid()))
	if err != nil {
		return freeAt("127.0.0.1")
	}
	return address, nil
}

func freeAt(host string) (string, error) {
	drawn.Lock()
	defer drawn.Unlock()
	var last error
	for range portTries {
		port := firstPort + rand.IntN(ports)
		if drawn.ports[port] {
			continue
		}
		address := fmt.Sprintf("%s:%d", host, port)
		if last = probe(address); last == nil {
			drawn.ports[port] = true
			return address, nil
		}
	}
	return "", cmp.Or(last, errAllDrawn)
}

var errAllDrawn = errors.New("all ports for processes on this machine were drawn")

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
