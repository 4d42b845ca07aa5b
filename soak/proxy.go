package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy stands between two processes on loopback and disturbs what they send. Its
// methods may be called while connections are open; they concern these too.
type proxy struct {
	listener net.Listener
	target   string

	// delay is added to each piece that is passed on, in nanoseconds.
	delay atomic.Int64
	// silent and oneWay swallow what is sent: both ways, or back to the caller only.
	silent, oneWay atomic.Bool
	// swallowed counts bytes.
	swallowed atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy listens on a free port and passes connections on to target.
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
			return // The listener was closed.
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
	p.keep(client, server)
	defer p.forget(client, server)
	var done sync.WaitGroup
	done.Go(func() { p.pass(server, client, func() bool { return p.silent.Load() }) })
	done.Go(func() { p.pass(client, server, func() bool { return p.silent.Load() || p.oneWay.Load() }) })
	done.Wait()
}

// pass carries bytes one way until either end closes.
func (p *proxy) pass(to, from net.Conn, swallow func() bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && swallow() {
			p.swallowed.Add(int64(n))
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

func (p *proxy) keep(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// reset breaks all connections that are open, without the usual end.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// calm ends all disturbances but those that have broken connections.
func (p *proxy) calm() {
	p.delay.Store(0)
	p.silent.Store(false)
	p.oneWay.Store(false)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
