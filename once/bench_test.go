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

	oncev1 "github.com/cairnworks/cairnworks/gen/cairnworks/once/v1"
	"github.com/cairnworks/cairnworks/once/memlog"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/route"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
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

// plainHTTP2 returns the protocol used between instances: HTTP/2 without TLS.
func plainHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// benchFleet starts n instances and returns them with a counter of the bytes sent between them. If
// owners is set, they send appends to the partition owners over HTTP/2 on the loopback interface.
func benchFleet(b *testing.B, log *memlog.Log, n int, owners bool) ([]*Service, *atomic.Int64) {
	wire := new(atomic.Int64)
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return countingConn{conn, wire}, err
	}
	client := &http.Client{Transport: &http.Transport{Protocols: plainHTTP2(), DialContext: dial}}
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
		server.Start()
		b.Cleanup(server.Close)
		members[i].Address = server.Listener.Addr().String()
	}
	for _, s := range services {
		running.Go(func() { _ = s.Run(ctx) })
	}
	time.Sleep(2 * time.Second)
	return services, wire
}

// BenchmarkAppends sends 100 guarded calls per second to a fleet for 10 s. It reports appends per
// second, and bytes written to the log and sent between instances per call.
func BenchmarkAppends(b *testing.B) {
	const rate, seconds = 100, 10
	for _, c := range []struct {
		instances int
		owners    bool
	}{{1, true}, {9, true}, {36, true}, {9, false}, {36, false}} {
		b.Run(fmt.Sprintf("instances=%d/owners=%v", c.instances, c.owners), func(b *testing.B) {
			log := memlog.New()
			services, wire := benchFleet(b, log, c.instances, c.owners)
			for b.Loop() {
				appends, written := log.Totals()
				between := wire.Load()
				var all sync.WaitGroup
				var latency atomic.Int64
				tick := time.NewTicker(time.Second / rate)
				for i := range rate * seconds {
					<-tick.C
					call := booking
					call.IdempotencyKey = fmt.Sprint(appends, "-", i)
					all.Go(func() {
						s := services[i%len(services)]
						began := time.Now()
						ticket, _, err := s.Begin(context.Background(), call)
						latency.Add(int64(time.Since(began)))
						if err != nil {
							b.Error(err)
							return
						}
						if err := s.Finish(context.Background(), ticket, bookingAnswer); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
				tick.Stop()
				endAppends, endWritten := log.Totals()
				b.ReportMetric(float64(endAppends-appends)/seconds, "appends/s")
				b.ReportMetric(float64(endWritten-written)/(rate*seconds), "log-B/call")
				b.ReportMetric(float64(wire.Load()-between)/(rate*seconds), "peer-B/call")
				b.ReportMetric(float64(latency.Load())/(rate*seconds)/1e6, "begin-ms")
			}
		})
	}
}

// BenchmarkCatchUp reports how long a new owner takes to read its stream from a log without delay,
// and the memory used per key.
func BenchmarkCatchUp(b *testing.B) {
	const calls = 27_000
	log := memlog.New()
	for i := range calls {
		intent := new(Service).newIntent(route.GuardedCall{IdempotencyKey: fmt.Sprint(i)}, time.Now())
		for _, m := range []*oncev1.Record{intentRecord(intent), outcomeRecord(intent, bookingAnswer)} {
			rec, _ := protocolRecord(m)
			entry, err := entryOf(m, rec)
			assert.NilError(b, err)
			_, _ = log.Append(context.Background(), streamName(0), entry)
		}
	}
	services, _ := benchFleet(b, log, 1, false)
	s := services[0]
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		p := startPartition(context.Background(), s.system, &s.cfg, s.scope, 0)
		reply := make(chan claimReply, 1)
		p.tell(claimMsg{req: claimRequest{rec: s.newIntent(booking, began), lookupOnly: true}, reply: reply})
		assert.Equal(b, (<-reply).state, stateFree)
		b.ReportMetric(float64(time.Since(began).Milliseconds()), "ms")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/calls, "B/key")
		p.stop()
	}
}

// BenchmarkRank400 measures ranking among 400 instances, which each instance does for every call
// and, for each of the 16 partitions, once per second.
func BenchmarkRank400(b *testing.B) {
	members := make([]request.Holder, 400)
	for i := range members {
		members[i].Instance = fmt.Sprintf("instance-%d", i)
	}
	for b.Loop() {
		rank(members, 3)
	}
}
