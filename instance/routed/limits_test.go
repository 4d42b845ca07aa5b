package routed_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// limitsFleet is a fleet of one instance with kept connections of callers.
type limitsFleet struct {
	*partitionFleet
	version uint64
}

func newLimitsFleet(t *testing.T) *limitsFleet {
	t.Helper()
	return &limitsFleet{newFleet(t, 1, map[string][]string{standin.PlainService: {"", ""}}), 1}
}

// setLimits publishes limits, which change applies to the defaults, and sends requests on a connection until the
// configuration is in force, so that the connection is never idle for long.
func (f *limitsFleet) setLimits(t *testing.T, on *keptConn, change func(*standin.Limits)) {
	t.Helper()
	f.version++
	limits := standin.DefaultLimits
	change(&limits)
	f.store.SetLimits(limits)
	key := fmt.Sprint("k", f.version)
	f.store.Publish(f.version, []standin.Organisation{{Name: "o", Keys: []string{"k", key}}})
	waitFor(t, func() bool { return on.send(keptRequest{key: key}) == http.StatusOK })
	// The keys are applied just before the limits.
	assert.Equal(t, on.send(keptRequest{key: key}), http.StatusOK)
}

// keptConn is a connection of a caller.
type keptConn struct {
	net.Conn
	read *bufio.Reader
	sent int
}

// connect opens a connection that has served a request.
func (f *limitsFleet) connect(t *testing.T) *keptConn {
	t.Helper()
	conn, err := net.Dial("tcp4", f.instances[0].settings.Callers)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &keptConn{Conn: conn, read: bufio.NewReader(conn)}
	assert.Equal(t, c.send(keptRequest{}), http.StatusOK)
	return c
}

// keptRequest is a request on a kept connection.
type keptRequest struct {
	// key is "k" unless set.
	key, notes, body string
	// pause is the pause after the first half of the head.
	pause time.Duration
}

// send sends a request and returns the status, or 0 if the connection was closed.
func (c *keptConn) send(r keptRequest) int {
	if r.key == "" {
		r.key = "k"
	}
	c.sent++
	id := fmt.Sprintf("%s-%d", c.LocalAddr(), c.sent)
	head := fmt.Sprintf("POST /read/%s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 9000\r\nAuthorization: Bearer %s\r\nX-Notes: %s\r\nContent-Length: %d\r\n\r\n", id, id, r.key, r.notes, len(r.body))
	half := len(head) / 2
	for _, part := range []string{head[:half], head[half:] + r.body} {
		// The answer to a request that is too large may come before all of it is sent.
		if _, err := io.WriteString(c, part); err != nil && r.pause > 0 {
			return 0
		}
		if part == head[:half] {
			time.Sleep(r.pause)
		}
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Limits and pauses of the tests. Pauses lie far from both timeouts.
const (
	shortTimeoutMS, longTimeoutMS = 1000, 60_000
	pauseBetween                  = 2500 * time.Millisecond
)

// Guards against limits that are taken once, when the process starts: requests that the configuration in force allows are
// refused, and others accepted, until it is started again. Each limit is lowered and raised twice while connections
// are kept.
func TestChangedLimitsApplyToKeptConnections(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		low, high func(*standin.Limits)
		// use uses a kept connection within the high limit and returns the status.
		use func(c *keptConn) int
		// beyond is the status beyond the low limit.
		beyond int
	}{
		"header bytes": {
			func(l *standin.Limits) { l.HeaderBytes = 8192 }, func(l *standin.Limits) { l.HeaderBytes = 65536 },
			func(c *keptConn) int { return c.send(keptRequest{notes: strings.Repeat("n", 40_000)}) }, http.StatusRequestHeaderFieldsTooLarge,
		},
		"body bytes": {
			func(l *standin.Limits) { l.BodyBytes = 1024 }, func(l *standin.Limits) { l.BodyBytes = 65536 },
			func(c *keptConn) int { return c.send(keptRequest{body: strings.Repeat("b", 4096)}) }, http.StatusRequestEntityTooLarge,
		},
		"header timeout": {
			func(l *standin.Limits) { l.HeaderTimeoutMS = shortTimeoutMS }, func(l *standin.Limits) { l.HeaderTimeoutMS = longTimeoutMS },
			func(c *keptConn) int { return c.send(keptRequest{pause: pauseBetween}) }, 0,
		},
		"idle timeout": {
			func(l *standin.Limits) { l.IdleTimeoutMS = shortTimeoutMS }, func(l *standin.Limits) { l.IdleTimeoutMS = longTimeoutMS },
			func(c *keptConn) int {
				time.Sleep(pauseBetween)
				return c.send(keptRequest{})
			}, 0,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLimitsFleet(t)
			kept := f.connect(t)
			f.setLimits(t, kept, c.low)
			f.setLimits(t, kept, c.high)
			assert.Equal(t, c.use(kept), http.StatusOK, "the limit was raised")
			f.setLimits(t, kept, c.low)
			assert.Equal(t, c.use(kept), c.beyond, "the limit was lowered")
			assert.Equal(t, c.use(f.connect(t)), c.beyond, "the limit was lowered, on a new connection")
			f.setLimits(t, f.connect(t), c.high)
			assert.Equal(t, c.use(f.connect(t)), http.StatusOK, "the limit was raised, on a new connection")
		})
	}
}

// Guards against an instance that keeps the built-in limits since the store was away when it started.
func TestLimitsAreAppliedAfterAStartWithoutTheStore(t *testing.T) {
	t.Parallel()
	f := newLimitsFleet(t)
	f.setLimits(t, f.connect(t), func(l *standin.Limits) { l.HeaderBytes = 65536 })
	f.endAll()
	f.store.SetDown(true)
	f.startInstance(t, "late", false)
	waitFor(t, func() bool {
		conn, err := net.Dial("tcp4", f.instances[0].settings.Callers)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }()
		c := &keptConn{Conn: conn, read: bufio.NewReader(conn)}
		return c.send(keptRequest{}) == http.StatusServiceUnavailable
	})
	f.store.SetDown(false)
	waitFor(t, func() bool { return f.instances[0].statusOf("ready", "k") == http.StatusOK })
	assert.Equal(t, f.connect(t).send(keptRequest{notes: strings.Repeat("n", 40_000)}), http.StatusOK)
}

// Guards against requests that are sent together and meet the timeout of an idle connection while they are served, and
// against a second head that is not limited.
func TestRequestsSentTogetherKeepToTheLimits(t *testing.T) {
	t.Parallel()
	f := newLimitsFleet(t)
	f.setLimits(t, f.connect(t), func(l *standin.Limits) { l.IdleTimeoutMS, l.HeaderBytes = 500, 8192 })
	for _, e := range f.running {
		e.SetSlowness(50)
	}
	conn, err := net.Dial("tcp4", f.instances[0].settings.Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	head := func(id, notes string) string {
		return fmt.Sprintf("GET /read/%s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Request-Deadline-Ms: 9000\r\nAuthorization: Bearer k\r\nX-Notes: %s\r\n\r\n", id, id, notes)
	}
	_, err = io.WriteString(conn, head("first", "")+head("second", "")+head("third", strings.Repeat("n", 40_000)))
	assert.NilError(t, err)
	read := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		resp, err := http.ReadResponse(read, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
	}
}
