// Package cutproxy is a proxy for tests that ends each response after a number of bytes, as a server does that stops in
// the middle of an answer.
package cutproxy

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const endOfHead = "\r\n\r\n"

// Whole is the number of bytes after which no response is cut.
const Whole = 1 << 30

// Proxy forwards requests to a server, one per connection.
type Proxy struct {
	// Address is the address of the proxy.
	Address string
	target  string

	mu sync.Mutex
	// after is the number of bytes after which responses are cut, reset whether the connection is reset then.
	after int
	reset bool
	// head and whole are the lengths of the head of the last whole response and of all of it.
	head, whole int
}

// Start starts a proxy to the server at an address until the test ends.
func Start(t testing.TB, target string) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	p := &Proxy{Address: listener.Addr().String(), target: target, after: Whole}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

// Cut ends further responses after a number of bytes, by an orderly close or a reset.
func (p *Proxy) Cut(after int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.after, p.reset = after, reset
}

func (p *Proxy) lengths() (head, whole int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.head, p.whole
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	r.Close = true
	if err := r.Write(server); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(server), r)
	if err != nil {
		return
	}
	data, err := httputil.DumpResponse(resp, true)
	if err != nil {
		return
	}
	p.mu.Lock()
	after, reset := min(p.after, len(data)), p.reset
	if after == len(data) {
		p.head, p.whole = bytes.Index(data, []byte(endOfHead))+len(endOfHead), len(data)
	}
	p.mu.Unlock()
	_, _ = c.Write(data[:after])
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// Each calls use with whole responses and then with responses that are cut after each number of bytes, by an orderly
// close and by a reset. A response that is cut in its head must be an error, and one that is cut later an error or
// the whole answer, which use returns.
func (p *Proxy) Each(t *testing.T, use func() (answer string, err error)) {
	t.Helper()
	p.Cut(Whole, false)
	want, err := use()
	assert.NilError(t, err)
	head, whole := p.lengths()
	assert.Assert(t, head > 0)
	for after := range whole {
		for _, reset := range []bool{false, true} {
			p.Cut(after, reset)
			answer, err := use()
			assert.Assert(t, err != nil || after >= head && answer == want, "%d of %d bytes, reset: %v: %q", after, whole, reset, answer)
		}
	}
}
