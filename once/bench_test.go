package once

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/once/protocol"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
)

// countingListener counts the bytes of accepted connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// plainHTTP2 is what instances speak to one another.
func plainHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// benchFleet starts n instances; with owners set they share appends over HTTP/2 on
// the loopback interface.
func benchFleet(b *testing.B, log *fakeLog, n int, owners bool) ([]*Service, *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{Protocols: plainHTTP2()}}
	wire := new(atomic.Int64)
	members := make([]request.Holder, n)
	services := make([]*Service, n)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range n {
		members[i] = request.Holder{Instance: fmt.Sprintf("instance-%d", i), Incarnation: 1}
	}
	for i := range n {
		cfg := Config{Self: members[i], Log: log, Members: func() []request.Holder { return members }}
		if owners {
			cfg.Dial = func(h request.Holder) (connect.HTTPClient, string) { return client, "http://" + h.Address }
		}
		s, err := New(cfg)
		assert.NilError(b, err)
		services[i] = s
		server := httptest.NewUnstartedServer(nil)
		_, server.Config.Handler = s.Handler()
		server.Config.Protocols = plainHTTP2()
		server.Listener = countingListener{server.Listener, wire}
		server.Start()
		b.Cleanup(server.Close)
		members[i].Address = server.Listener.Addr().String()
		services[i].cfg.Self = members[i]
		services[i].peers.self = members[i]
	}
	for _, s := range services {
		running.Go(func() { _ = s.Run(ctx) })
	}
	time.Sleep(2 * time.Second)
	return services, wire
}

// BenchmarkAppends offers 100 guarded calls a second to a whole fleet for 10 s and
// reports appends a second, bytes in the log and bytes between instances per call.
func BenchmarkAppends(b *testing.B) {
	const rate, seconds = 100, 10
	for _, c := range []struct {
		instances int
		owners    bool
	}{{1, true}, {9, true}, {36, true}, {9, false}, {36, false}} {
		b.Run(fmt.Sprintf("instances=%d/owners=%v", c.instances, c.owners), func(b *testing.B) {
			log := newFakeLog()
			services, wire := benchFleet(b, log, c.instances, c.owners)
			for b.Loop() {
				calls, appends, written, between := log.calls, log.calls, log.bytes, wire.Load()
				var all sync.WaitGroup
				var latency atomic.Int64
				tick := time.NewTicker(time.Second / rate)
				for i := range rate * seconds {
					<-tick.C
					call := booking
					call.IdempotencyKey = fmt.Sprint(calls, "-", i)
					all.Go(func() {
						s := services[i%len(services)]
						began := time.Now()
						ticket, _, err := s.Begin(context.Background(), call)
						latency.Add(int64(time.Since(began)))
						if err != nil {
							b.Error(err)
							return
						}
						if err := s.Finish(context.Background(), ticket, booked); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
				tick.Stop()
				b.ReportMetric(float64(log.calls-appends)/seconds, "appends/s")
				b.ReportMetric(float64(log.bytes-written)/(rate*seconds), "log-B/call")
				b.ReportMetric(float64(wire.Load()-between)/(rate*seconds), "peer-B/call")
				b.ReportMetric(float64(latency.Load())/(rate*seconds)/1e6, "begin-ms")
			}
		})
	}
}

// BenchmarkIndex reports the memory of one remembered key and the time to apply
// its two records.
func BenchmarkIndex(b *testing.B) {
	const keys = 200_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		x := protocol.NewIndex(1)
		s := &Service{cfg: Config{Self: request.Holder{Instance: "instance-1"}}}
		for i := range uint64(keys) {
			intent := s.newIntent(route.GuardedCall{IdempotencyKey: fmt.Sprint(i)}, began)
			x.Apply(2*i+1, intent, began, true)
			outcome := intent
			outcome.Kind = protocol.KindOutcome
			x.Apply(2*i+2, outcome, began, true)
		}
		b.ReportMetric(float64(time.Since(began).Nanoseconds())/keys, "ns/key")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(x)
	}
}
