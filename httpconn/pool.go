package httpconn

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of a pool's connections.
const (
	// DialTimeout bounds the opening of a connection. A round trip within a region
	// takes 2 ms; a lost opening packet is sent again after a second, and by then
	// another upstream has answered.
	DialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes stay unacknowledged: behind a
	// partition nothing else tells that the other side is gone.
	unackedTimeout = 2 * time.Second
	// keepAlive is the interval of probes on a silent connection; two lost ones end
	// it, which tells a partition from an upstream that is still at work.
	keepAlive = time.Second
	// DefaultIdle is how long a connection is kept for another request where the
	// upstream does not say.
	DefaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the upstream names, so that a request
	// does not cross its close.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress bounds the kept connections to one upstream, which counts
	// those of all instances together.
	maxIdlePerAddress = 8
)

// Pool keeps connections to upstreams. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// dial opens a connection; tests replace it.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// opened counts the connections opened since the start.
	opened uint64
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	dialer := &net.Dialer{
		Timeout:         DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         limitUnacked,
	}
	return &Pool{
		idle: make(map[string][]*conn),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
	}
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns an idle connection that is sound and has been idle for at most
// maxIdle, or opens one.
func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			return p.open(ctx, address)
		}
		now := time.Now()
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= maxIdle && c.sound() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Connect opens a connection and keeps it for a request. It fails where nobody listens.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, DefaultIdle)
	return nil
}

// put keeps a connection for another request.
func (p *Pool) put(c *conn, idle time.Duration) {
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idle)
	p.mu.Lock()
	list := p.idle[c.address]
	if len(list) < maxIdlePerAddress {
		p.idle[c.address] = append(list, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseExpired closes connections whose idle time is over and forgets addresses without
// any.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Opened is the number of connections opened since the start.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
