package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections between two processes on loopback and injects faults. Faults also
// apply to connections that are already open.
type proxy struct {
	listener net.Listener
	target   string

	// delay is added before each chunk that is forwarded, in nanoseconds.
	delay atomic.Int64
	// dropAll drops data in both directions, dropResponses only data to the client.
	dropAll, dropResponses atomic.Bool
	// droppedBytes counts the bytes dropped in both directions.
	droppedBytes atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy listens on a free port and forwards connections to target.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // The proxy was closed.
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	defer p.untrack(client, server)
	var done sync.WaitGroup
	done.Go(func() { p.forward(server, client, func() bool { return p.dropAll.Load() }) })
	done.Go(func() { p.forward(client, server, func() bool { return p.dropAll.Load() || p.dropResponses.Load() }) })
	done.Wait()
}

// forward copies data in one direction until either side closes its connection.
func (p *proxy) forward(to, from net.Conn, drop func() bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && drop() {
			p.droppedBytes.Add(int64(n))
		} else if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// reset aborts all open connections with a TCP reset instead of a clean close.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// clearFaults ends delays and drops. Connections that were reset remain closed.
func (p *proxy) clearFaults() {
	p.delay.Store(0)
	p.dropAll.Store(false)
	p.dropResponses.Store(false)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
