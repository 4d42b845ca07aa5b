// Package loopback allocates loopback addresses for processes that are started with a fixed port,
// such as those of tests and of the soak test.
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

// The ports are below the ephemeral port range of the system. A run opens thousands of outgoing
// connections, and one of them could otherwise take a free port before a process listens on it, or
// while the process restarts.
const (
	firstPort = 15_000
	portCount = 15_000
	portTries = 50
)

// allocated holds the ports already given out by this process. They may appear free, because
// nothing listens on them before their user starts or while it restarts.
var allocated = struct {
	sync.Mutex
	ports map[int]bool
}{ports: make(map[int]bool)}

// loopbackHost returns the loopback host for the addresses of a process. Processes that allocate
// ports on the same host could choose the same one, because nothing listens on it yet.
func loopbackHost(pid int) string {
	const first = 64
	return fmt.Sprintf("127.%d.%d.%d", first|pid>>16&(first-1), pid>>8&0xff, pid&0xff)
}

// FreeAddress returns an address that is free for TCP and UDP, and a different one on each call. If
// the system supports more than one loopback host, the host is used by this process only.
func FreeAddress() (string, error) {
	address, err := allocateAddress(loopbackHost(os.Getpid()))
	if err != nil {
		return allocateAddress("127.0.0.1")
	}
	return address, nil
}

func allocateAddress(host string) (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	var lastErr error
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		if allocated.ports[port] {
			continue
		}
		address := fmt.Sprintf("%s:%d", host, port)
		if lastErr = checkFree(address); lastErr == nil {
			allocated.ports[port] = true
			return address, nil
		}
	}
	return "", cmp.Or(lastErr, errNoPort)
}

var errNoPort = errors.New("no unallocated port found")

func checkFree(address string) error {
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
