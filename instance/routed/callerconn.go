package routed

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// RequestLimits limits the size and duration of callers' requests. Limits of 0 are not set.
type RequestLimits struct {
	HeaderBytes                int
	HeaderTimeout, IdleTimeout time.Duration
}

// defaultRequestLimits apply where a configuration sets no limit.
var defaultRequestLimits = RequestLimits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// withDefaults returns the limits with defaults for those that are not set.
func (l RequestLimits) withDefaults() RequestLimits {
	out := defaultRequestLimits
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}
	return out
}

const (
	// readAheadBytes is what the server may read beyond a head.
	readAheadBytes = 4 << 10
	// maxUnreadHeadBytes and unreadHeadTime bound what is read of a head that is too large after it was refused. Closing
	// a connection with unread bytes resets it, and the caller might not get the answer.
	maxUnreadHeadBytes = 256 << 10
	unreadHeadTime     = 500 * time.Millisecond
	headTooLarge       = "431 Request Header Fields Too Large"
	headTooLargeAnswer = "HTTP/1.1 " + headTooLarge + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + headTooLarge
)

var errHeadTooLarge = errors.New("the head of the request is too large")

// callerConns applies the limits in force to all connections of callers. http.Server takes its own limits once, so that
// they are left open there, and kept connections would not follow a change.
type callerConns struct {
	limits atomic.Pointer[RequestLimits]

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns {
	l := &callerConns{open: make(map[*callerConn]struct{})}
	l.limits.Store(&defaultRequestLimits)
	return l
}

// setLimits changes the limits of open and new connections.
func (l *callerConns) setLimits(limits RequestLimits) {
	l.limits.Store(&limits)
	l.mu.Lock()
	open := make([]*callerConn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.mu.Lock()
		c.applyTimeout()
		c.mu.Unlock()
	}
}

// server returns the server for connections that listener has accepted.
func (l *callerConns) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: startRequests(handler), MaxHeaderBytes: math.MaxInt32,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			switch s {
			case http.StateActive:
				c.(*callerConn).enter(serving)
			case http.StateIdle:
				c.(*callerConn).enter(idle)
			}
		},
	}
}

// listener returns a listener whose connections keep to the limits.
func (l *callerConns) listener(from net.Listener) net.Listener { return &callerListener{from, l} }

type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, conns: l.conns}
	l.conns.mu.Lock()
	l.conns.open[c] = struct{}{}
	l.conns.mu.Unlock()
	c.enter(readingHead)
	return c, nil
}

type callerConnKey struct{}

// startRequests returns a handler that marks the connection of each request as serving it. The server does not report the
// state of a request whose whole head was read together with the request before.
func startRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
			c.enter(serving)
		}
		handler.ServeHTTP(w, r)
	})
}

// connPhase is what a connection of a caller is used for.
type connPhase int

const (
	// readingHead lasts from the first byte of a request, or the start of the connection, to the end of the head.
	readingHead connPhase = iota
	serving
	idle
)

// callerConn is a connection of a caller. It limits the size of heads and sets the read deadline while no request is
// served; the handler sets it otherwise.
type callerConn struct {
	net.Conn
	conns *callerConns

	mu    sync.Mutex
	phase connPhase
	// since is the start of the phase, headBytes what has been read of the head and beyond.
	since     time.Time
	headBytes int
}

// enter begins a phase, unless the connection is in it.
func (c *callerConn) enter(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterLocked(phase)
}

func (c *callerConn) enterLocked(phase connPhase) {
	if c.phase == phase && !c.since.IsZero() {
		return
	}
	c.phase, c.since, c.headBytes = phase, time.Now(), 0
	if phase == serving {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.applyTimeout()
}

// applyTimeout sets the read deadline of a phase with a timeout. The caller must hold the lock.
func (c *callerConn) applyTimeout() {
	limits := c.conns.limits.Load()
	switch c.phase {
	case readingHead:
		_ = c.Conn.SetReadDeadline(c.since.Add(limits.HeaderTimeout))
	case idle:
		_ = c.Conn.SetReadDeadline(c.since.Add(limits.IdleTimeout))
	}
}

// SetReadDeadline implements net.Conn. Deadlines that the server sets while no request is served are those of limits that
// it was not given.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	inHead := c.phase != serving
	left := c.conns.limits.Load().HeaderBytes + readAheadBytes - c.headBytes
	c.mu.Unlock()
	if inHead && left <= 0 {
		c.refuseHead()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadTooLarge}
	}
	if inHead {
		p = p[:min(len(p), left)]
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.countHead(n)
	}
	return n, err
}

// countHead counts bytes that were read of a head. A read that began before a request was served may end while it is.
func (c *callerConn) countHead(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		c.enterLocked(readingHead)
		c.headBytes += n
	}
}

// refuseHead answers a request whose head is too large.
func (c *callerConn) refuseHead() {
	deadline := time.Now().Add(unreadHeadTime)
	_ = c.Conn.SetDeadline(deadline)
	if _, err := c.Conn.Write([]byte(headTooLargeAnswer)); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	unread := make([]byte, readAheadBytes)
	for total := 0; total < maxUnreadHeadBytes; {
		n, err := c.Conn.Read(unread)
		if err != nil {
			return
		}
		total += n
	}
}

// CloseWrite ends the sending direction.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Conn.Close()
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}
