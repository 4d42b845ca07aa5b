package httpconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts and limits of pooled connections.
const (
	// DialTimeout limits the time to open a connection. The round-trip time within a
	// region is 2 ms. A lost SYN is retransmitted only after a second, by which time
	// another upstream has responded.
	DialTimeout = 400 * time.Millisecond
	// userTimeout is the time after which a connection with unacknowledged data is
	// closed. In a network partition, nothing else shows that the remote side is gone.
	// The system also closes a connection after a lost keep-alive probe if nothing has
	// arrived for userTimeout, whatever the number of probes.
	userTimeout = 3 * time.Second
	// keepAlive is the interval of TCP keep-alive probes. A connection is closed after
	// keepAliveProbes lost ones; this distinguishes a partition from an upstream that is
	// still processing the request.
	keepAlive       = time.Second
	keepAliveProbes = 3
	// toleratedSilence is how long the host of an upstream may be silent in any case
	// without a connection being closed. The last packet may have arrived up to keepAlive
	// before.
	toleratedSilence = userTimeout - keepAlive
	// DefaultIdle is how long an idle connection is kept if the upstream does not
	// specify a time, and the maximum if it does.
	DefaultIdle = 4 * time.Second
	// idleMargin is subtracted from the upstream's keep-alive timeout, so that no
	// request is sent while the upstream is closing the connection.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerAddress limits the idle connections to an upstream, where the
	// connections of all instances add up.
	maxIdlePerAddress = 8
)

// Pool is a pool of connections to upstreams. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
	// dial opens a connection; it can be replaced in tests.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// opened counts the connections opened by the pool.
	opened uint64
	// OnMalformed, if set, is called when an upstream has sent something else than a response. It must be set
	// before the pool is used.
	OnMalformed func(*MalformedError)
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := NewDialer(DialTimeout)
	return &Pool{
		idle: make(map[string][]*conn),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
	}
}

// NewDialer returns a dialer whose connections are closed soon after the remote side can no longer be
// reached. timeout limits the time to open one.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, the time that sent data may remain
// unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// get returns a usable connection that has been idle for at most maxIdle, or opens a
// new one within dialTimeout, if that is not 0.
func (p *Pool) get(ctx context.Context, address string, maxIdle, dialTimeout time.Duration) (*conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.openWithin(ctx, address, dialTimeout)
		}
		now := time.Now()
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= maxIdle && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(address string) *conn {
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

func (p *Pool) openWithin(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return p.open(ctx, address)
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(raw, address), nil
}

// Connect opens a connection and adds it to the pool. It fails if the upstream does
// not accept connections.
func (p *Pool) Connect(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	p.put(c, DefaultIdle)
	return nil
}

// put adds an idle connection to the pool, or closes it if there are enough.
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

// CloseExpired closes the connections whose idle time has expired, and removes
// addresses without connections from the pool.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Opened returns the number of connections that the pool has opened.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}
