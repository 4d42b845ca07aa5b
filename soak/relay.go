package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cairnworks/cairnworks/loopback"
)

// relaySet holds a relay for each pair of instances, which forwards or drops the reports between
// them. The views of the store give each instance the address of the relay in place of the other
// instance's.
type relaySet struct {
	mu        sync.Mutex
	endpoints map[string]*relayEndpoint
	byPair    map[[2]string]*relay
}

// relayEndpoint is the state of one instance for all its relays.
type relayEndpoint struct {
	name    string
	address netip.AddrPort
	// sendLossPercent and receiveLossPercent are the percentages of the datagrams from and to the
	// instance that are dropped.
	sendLossPercent, receiveLossPercent atomic.Int32
}

// relay forwards UDP datagrams, and TCP connections for records, between two instances.
type relay struct {
	conn      *net.UDPConn
	records   net.Listener
	endpoints [2]*relayEndpoint
}

// fullLossPercent is the loss of a link that forwards nothing.
const fullLossPercent = 100

func newRelaySet() *relaySet {
	return &relaySet{endpoints: make(map[string]*relayEndpoint), byPair: make(map[[2]string]*relay)}
}

// add registers an instance and the address at which it receives reports.
func (r *relaySet) add(instance, address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints[instance] = &relayEndpoint{name: instance, address: parsed}
	return nil
}

// endpoint returns the endpoint of an instance.
func (r *relaySet) endpoint(instance string) *relayEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoints[instance]
}

// address returns the address to which one instance sends its reports for another. That is a relay
// if both instances are registered, or else the given address.
func (r *relaySet) address(from, to, address string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endpoints[from] == nil || r.endpoints[to] == nil {
		return address
	}
	pair := [2]string{min(from, to), max(from, to)}
	if r.byPair[pair] == nil {
		made, err := newRelay(r.endpoints[pair[0]], r.endpoints[pair[1]])
		if err != nil {
			panic(fmt.Sprintf("creating a relay between %s and %s: %v", from, to, err)) // No free port on loopback.
		}
		r.byPair[pair] = made
	}
	return r.byPair[pair].conn.LocalAddr().String()
}

func (r *relaySet) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.byPair {
		_ = relay.conn.Close()
		_ = relay.records.Close()
	}
}

func newRelay(a, b *relayEndpoint) (*relay, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	records, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)))
	if err != nil {
		return nil, err
	}
	r := &relay{conn: conn, records: records, endpoints: [2]*relayEndpoint{a, b}}
	go r.forward()
	go r.acceptRecords()
	return r, nil
}

// acceptRecords forwards connections until the relay is closed.
func (r *relay) acceptRecords() {
	for {
		client, err := r.records.Accept()
		if err != nil {
			return // The relay was closed.
		}
		go r.forwardRecords(client)
	}
}

// forwardRecords forwards a connection to the instance that did not open it. A request names the
// instance that sends it. Connections over a link that drops everything are left open.
func (r *relay) forwardRecords(client net.Conn) {
	defer func() { _ = client.Close() }()
	request := make([]byte, 0, 4<<10)
	from, to := r.endpoints[0], r.endpoints[1]
	for !namesInstance(request, from.name) && !namesInstance(request, to.name) {
		n, err := client.Read(request[len(request):cap(request)])
		if err != nil || len(request) == cap(request) {
			return
		}
		request = request[:len(request)+n]
	}
	if namesInstance(request, to.name) {
		from, to = to, from
	}
	if drawLoss(from.sendLossPercent.Load()) || drawLoss(to.receiveLossPercent.Load()) {
		_, _ = io.Copy(io.Discard, client) // Ends when the client gives up.
		return
	}
	server, err := net.Dial("tcp4", to.address.String())
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if _, err := server.Write(request); err != nil {
		return
	}
	go func() { _, _ = io.Copy(server, client) }() // Ends when the connections are closed.
	_, _ = io.Copy(client, server)                 // A failed copy ends the fetch, which the client notices.
}

// namesInstance reports whether an encoded request for records contains an instance's name as its third
// field.
func namesInstance(request []byte, name string) bool {
	return bytes.Contains(request, append([]byte{3<<3 | 2, byte(len(name))}, name...))
}

// forward forwards datagrams until the relay is closed.
func (r *relay) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, source, err := r.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // The relay was closed.
		}
		from, to := r.endpoints[0], r.endpoints[1]
		if source == to.address {
			from, to = to, from
		}
		if source != from.address || drawLoss(from.sendLossPercent.Load()) || drawLoss(to.receiveLossPercent.Load()) {
			continue
		}
		_, _ = r.conn.WriteToUDPAddrPort(buffer[:n], to.address) // Reports may be lost, so a failed send is ignored.
	}
}

func drawLoss(percent int32) bool { return rand.Int32N(fullLossPercent) < percent }
