package routed

import (
	"context"
	"net"
	"runtime/metrics"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/decision/overload"
)

// Measurement of the load of the processor.
const (
	// loadInterval is the interval at which the load is measured.
	loadInterval = 250 * time.Millisecond
	// delayQuantile is the quantile of the scheduling delays of goroutines in an interval that counts.
	delayQuantile = 0.9
	// minDelays is the number of delays from which the quantile counts.
	minDelays = 20
	// schedulingDelays is the runtime's histogram of the time that goroutines waited for the processor, in seconds.
	schedulingDelays = "/sched/latencies:seconds"
)

// gatedListener refuses a share of the new connections while the instance is overloaded, before anything has been read
// from them.
type gatedListener struct {
	net.Listener
	// onRefuse is called for each connection that is refused.
	onRefuse func()

	mu   sync.Mutex
	gate *overload.Gate
}

func newGatedListener(l net.Listener, maxShare float64, onRefuse func()) *gatedListener {
	cfg := overload.DefaultConfig()
	cfg.MaxShare = maxShare
	return &gatedListener{Listener: l, onRefuse: onRefuse, gate: overload.NewGate(cfg)}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.refuses() {
			return conn, err
		}
		l.onRefuse()
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A reset tells the caller at once that the request was not read.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *gatedListener) refuses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Refuse()
}

func (l *gatedListener) observe(delay time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gate.Observe(delay)
}

// watchLoad measures the load of the processor until ctx is done.
func (l *gatedListener) watchLoad(ctx context.Context, log *zap.Logger) {
	delays := newDelayReader()
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	wasRefusing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		delay := delays.quantile()
		share := l.observe(delay)
		if refusing := share > 0; refusing != wasRefusing {
			wasRefusing = refusing
			log.Info("overload changed", zap.Bool("refusing_connections", refusing), zap.Duration("scheduling_delay", delay))
		}
	}
}

// delayReader reads the scheduling delays since its last use.
type delayReader struct {
	sample []metrics.Sample
	last   []uint64
}

func newDelayReader() *delayReader {
	r := &delayReader{sample: []metrics.Sample{{Name: schedulingDelays}}}
	r.quantile()
	return r
}

// quantile returns the delayQuantile of the delays since the last call, or 0 if there are few.
func (r *delayReader) quantile() time.Duration {
	metrics.Read(r.sample)
	if r.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := r.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(h.Counts))
	total := uint64(0)
	for n, count := range h.Counts {
		counts[n] = count
		if n < len(r.last) {
			counts[n] -= r.last[n]
		}
		total += counts[n]
	}
	r.last = append(r.last[:0], h.Counts...)
	if total < minDelays {
		return 0
	}
	rest := float64(total) * (1 - delayQuantile)
	for n := len(counts) - 1; n >= 0; n-- {
		if rest -= float64(counts[n]); rest < 0 {
			return time.Duration(h.Buckets[n] * float64(time.Second))
		}
	}
	return 0
}
