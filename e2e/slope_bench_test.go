package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/object"
)

const (
	// settleTime is the time given to the instances of a started fleet to discover each other and to
	// claim the rate shards.
	settleTime = 15 * time.Second
	// measurementTime is the time over which the processes are measured.
	measurementTime = 20 * time.Second
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// processUsage is the resource usage of a process so far. Bytes and calls are those of the read and
// write system calls, which the daemon uses for TCP. Its UDP traffic uses other system calls and is
// not included.
type processUsage struct {
	cpu                     time.Duration
	received, sent          float64
	receiveCalls, sendCalls float64
	residentMB              float64
}

// readProcessUsage reads the resource usage of a process from /proc.
func readProcessUsage(b *testing.B, pid int) processUsage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// The program name in parentheses may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	calls := readProcFile(b, fmt.Sprintf("/proc/%d/io", pid))
	status := readProcFile(b, fmt.Sprintf("/proc/%d/status", pid))
	return processUsage{
		cpu: time.Duration(user+system) * clockTick, received: calls["rchar"], sent: calls["wchar"],
		receiveCalls: calls["syscr"], sendCalls: calls["syscw"], residentMB: status["VmRSS"] / 1024,
	}
}

// gossipBytesSent returns the sum of the UDP bytes sent, including headers, as counted by the
// daemons. They receive the same number of bytes.
func gossipBytesSent(b *testing.B, f *fleet) float64 {
	b.Helper()
	sum := 0.0
	for _, d := range f.instances {
		sum += readMetric(b, d, "membership_sent_bytes")
	}
	return sum
}

// readMetric reads a counter of a daemon whose name has the given suffix. It returns 0 if there is
// none.
func readMetric(b *testing.B, d *daemon, name string) float64 {
	b.Helper()
	resp, err := http.Get("http://" + d.operatorAddress + "/metrics")
	assert.NilError(b, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(b, err)
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) == 2 && strings.HasSuffix(words[0], name) {
			value, err := strconv.ParseFloat(words[1], 64)
			assert.NilError(b, err)
			return value
		}
	}
	return 0
}

// readProcFile reads a file that consists of lines of the form "name: number".
func readProcFile(b *testing.B, file string) map[string]float64 {
	b.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(b, err)
	values := make(map[string]float64)
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			values[name], _ = strconv.ParseFloat(words[0], 64)
		}
	}
	return values
}

// newScalingFleet starts a fleet whose object set contains the given number of additional
// organisations with two keys each.
func newScalingFleet(b *testing.B, cfg fleetConfig, organisations int) *fleet {
	b.Helper()
	instances := cfg.instances
	cfg.instances = 0
	f := newFleet(b, cfg)
	for n := range organisations {
		name := fmt.Sprintf("organisation-%05d", n)
		f.objectSet.Organisations = append(f.objectSet.Organisations, object.Organisation{Name: name, Limit: "member"})
		for k := range 2 {
			key := fmt.Sprintf("%s-%d", name, k)
			f.objectSet.Keys = append(f.objectSet.Keys, object.Key{Name: key, Organisation: name, Hash: object.HashKey(key)})
		}
	}
	if organisations > 0 {
		f.publish()
	}
	for n := range instances {
		f.startInstance(n, withDrainGrace(0))
	}
	f.waitReady()
	time.Sleep(settleTime)
	return f
}

// reportUsage measures the daemons for measurementTime and reports the mean usage of a daemon, and
// for CPU time and memory also the maximum.
func reportUsage(b *testing.B, f *fleet) {
	b.Helper()
	// Metrics are scraped outside the time in which TCP traffic is counted.
	gossipBefore := gossipBytesSent(b, f)
	before := make([]processUsage, len(f.instances))
	for n, d := range f.instances {
		before[n] = readProcessUsage(b, d.cmd.Process.Pid)
	}
	start := time.Now()
	time.Sleep(measurementTime)
	var sum, peak processUsage
	for n, d := range f.instances {
		now := readProcessUsage(b, d.cmd.Process.Pid)
		cpu := now.cpu - before[n].cpu
		sum.cpu += cpu
		sum.received += now.received - before[n].received
		sum.sent += now.sent - before[n].sent
		sum.receiveCalls += now.receiveCalls - before[n].receiveCalls
		sum.sendCalls += now.sendCalls - before[n].sendCalls
		sum.residentMB += now.residentMB
		peak.cpu = max(peak.cpu, cpu)
		peak.residentMB = max(peak.residentMB, now.residentMB)
	}
	seconds := time.Since(start).Seconds()
	count := float64(len(f.instances))
	b.ReportMetric(sum.cpu.Seconds()/seconds/count*100, "core-%")
	b.ReportMetric(peak.cpu.Seconds()/seconds*100, "core-%-max")
	b.ReportMetric(sum.residentMB/count, "MB")
	b.ReportMetric(peak.residentMB, "MB-max")
	b.ReportMetric(sum.received/seconds/count, "tcp-in-B/s")
	b.ReportMetric(sum.sent/seconds/count, "tcp-out-B/s")
	b.ReportMetric((gossipBytesSent(b, f)-gossipBefore)/seconds/count, "udp-out-B/s")
	b.ReportMetric(sum.receiveCalls/seconds/count, "reads/s")
	b.ReportMetric(sum.sendCalls/seconds/count, "writes/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleInstances measures daemons without requests, by fleet size. The costs that grow with
// the size are those of membership, of the rate leases' fence sets and of following the log.
func BenchmarkIdleInstances(b *testing.B) {
	for _, instances := range []int{9, 18, 36} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) {
			f := newScalingFleet(b, fleetConfig{instances: instances, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond}, 0)
			for b.Loop() {
				reportUsage(b, f)
			}
		})
	}
}

// BenchmarkIdleOrganisations measures idle daemons by the size of the object set.
func BenchmarkIdleOrganisations(b *testing.B) {
	for _, organisations := range []int{3000, 6000, 12000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			f := newScalingFleet(b, fleetConfig{instances: 3, prefill: 1, decode: 1, plain: 1, tokenTime: time.Millisecond}, organisations)
			for b.Loop() {
				reportUsage(b, f)
			}
		})
	}
}

// BenchmarkIdleUpstreams measures one idle daemon, which schedules all services, by the number of
// engines that it polls.
func BenchmarkIdleUpstreams(b *testing.B) {
	for _, engines := range []int{4, 8, 16} {
		b.Run(strconv.Itoa(engines), func(b *testing.B) {
			f := newScalingFleet(b, fleetConfig{instances: 1, prefill: engines / 2, decode: engines / 2, plain: 1, tokenTime: time.Millisecond}, 0)
			for b.Loop() {
				reportUsage(b, f)
			}
		})
	}
}

// BenchmarkHeldStreams measures one daemon by the number of its open streams, which it schedules
// itself. Each stream forwards a token every two seconds. TCP traffic therefore includes that of
// callers and engines, and only memory and CPU time are meaningful. A few responses are short and
// end before the measurement does.
func BenchmarkHeldStreams(b *testing.B) {
	for _, streams := range []int{30, 60, 120} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) {
			f := newScalingFleet(b, fleetConfig{instances: 1, prefill: 4, decode: 8, plain: 1, tokenTime: 2 * time.Second}, 0)
			ctx, disconnect := context.WithCancel(context.Background())
			var open sync.WaitGroup
			for n := range streams {
				open.Go(func() {
					resp := chat(ctx, f.instances[0].callerAddress, f.keys["alpha"], "held "+strconv.Itoa(n), longMaxTokens, nil)
					if ctx.Err() == nil && !resp.complete {
						b.Errorf("stream %d is incomplete: status %d, code %q, %v", n, resp.status, resp.code, resp.err)
					}
				})
			}
			waitUntil(b, time.Now(), func() bool { return f.heldByEngines() >= streams })
			time.Sleep(settleTime)
			for b.Loop() {
				reportUsage(b, f)
				b.ReportMetric(float64(f.heldByEngines()), "held")
			}
			disconnect()
			open.Wait()
		})
	}
}

// BenchmarkOperatorQueries reports the size of the response to each operator query whose response
// grows with the fleet.
func BenchmarkOperatorQueries(b *testing.B) {
	for _, instances := range []int{9, 18, 36} {
		b.Run(strconv.Itoa(instances), func(b *testing.B) {
			f := newScalingFleet(b, fleetConfig{instances: instances, prefill: 2, decode: 2, plain: 1, tokenTime: time.Millisecond}, 0)
			for b.Loop() {
				for _, query := range []string{"/metrics", "/status", "/instances", "/upstreams", "/queues"} {
					resp, err := http.Get("http://" + f.instances[0].operatorAddress + query)
					assert.NilError(b, err)
					text, err := io.ReadAll(resp.Body)
					assert.NilError(b, err)
					resp.Body.Close()
					assert.Equal(b, resp.StatusCode, http.StatusOK, query)
					b.ReportMetric(float64(len(text)), query[1:]+"-B")
				}
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
