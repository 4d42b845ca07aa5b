package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

// relays stand between each two instances and pass on the reports that these send one another,
// or lose them. The stores' views tell each instance the relay's address in place of the other's.
type relays struct {
	mu      sync.Mutex
	ends    map[string]*relayEnd
	between map[[2]string]*relay
}

// relayEnd is an instance as the relays see it.
type relayEnd struct {
	address netip.AddrPort
	// sentLost and gotLost are the parts of what it sends, and of what it is sent, that are
	// lost, in hundredths.
	sentLost, gotLost atomic.Int32
}

// relay stands between two instances.
type relay struct {
	conn *net.UDPConn
	ends [2]*relayEnd
}

// allLost stands for a link that carries nothing, in hundredths.
const allLost = 100

func newRelays() *relays {
	return &relays{ends: make(map[string]*relayEnd), between: make(map[[2]string]*relay)}
}

// add makes an instance known.
func (r *relays) add(instance, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[instance] = &relayEnd{address: parsed}
	return nil
}

// end returns an instance's end.
func (r *relays) end(instance string) *relayEnd {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[instance]
}

// address returns where one instance is to send its reports for another. Those that no relay
// knows, it sends them to directly.
func (r *relays) address(from, to, address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends[from] == nil || r.ends[to] == nil {
		return address
	}
	pair := [2]string{min(from, to), max(from, to)}
	if r.between[pair] == nil {
		made, err := newRelay(r.ends[pair[0]], r.ends[pair[1]])
		if err != nil {
			panic(fmt.Sprintf("no relay between %s and %s: %v", from, to, err)) // Loopback has no free port.
		}
		r.between[pair] = made
	}
	return r.between[pair].conn.LocalAddr().String()
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.between {
		_ = one.conn.Close()
	}
}

func newRelay(a, b *relayEnd) (*relay, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	r := &relay{conn: conn, ends: [2]*relayEnd{a, b}}
	go r.pass()
	return r, nil
}

// pass passes datagrams on until the relay is closed.
func (r *relay) pass() {
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The relay was closed.
		}
		from, to := r.ends[0], r.ends[1]
		if source == to.address {
			from, to = to, from
		}
		if source != from.address || lost(from.sentLost.Load()) || lost(to.gotLost.Load()) {
			continue
		}
		_, _ = r.conn.WriteToUDPAddrPort(buffer[:n], to.address) // A failed send is a lost datagram.
	}
}

func lost(hundredths int32) bool { return rand.Int32N(allLost) < hundredths }
