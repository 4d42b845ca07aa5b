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
	// settleTime lets a started fleet find itself and take its rate shards.
	settleTime = 15 * time.Second
	// windowTime is over what a process is measured.
	measurementTime = 20 * time.Second
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
)

// usage is what a process has used so far. Bytes and calls are those of read and
// write, which is how the daemon speaks TCP; its UDP goes by other system calls and
// is not among them.
type processUsage struct {
	cpu                     time.Duration
	received, sent          float64
	receiveCalls, sendCalls float64
	residentMB              float64
}

// usageOf reads the kernel's record of a process.
func readProcessUsage(b *testing.B, pid int) processUsage {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// The program's name in brackets may contain spaces.
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

// gossipOf sums the daemons' own counts of UDP bytes sent, headers included. They
// receive as many.
func gossipBytesSent(b *testing.B, f *fleet) float64 {
	b.Helper()
	sum := 0.0
	for _, d := range f.instances {
		sum += readMetric(b, d, "membership_sent_bytes")
	}
	return sum
}

// metric reads one counter of a daemon by the end of its name.
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

// procValues reads a file of "name: number" lines.
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

// slopeFleet starts a fleet whose set holds so many organisations, with two keys each.
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

// reportUsage measures the daemons over a window and reports what one of them uses,
// as the mean over all and for processor time and memory also the largest.
func reportUsage(b *testing.B, f *fleet) {
	b.Helper()
	// Scrapes are kept out of the window in which TCP is counted.
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

// BenchmarkIdleInstances measures daemons without any request, by fleet size. What
// grows with the size is the cost of membership, the rate's fence and the log's
// followers.
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

// BenchmarkIdleUpstreams measures one idle daemon, which schedules every service, by
// the number of engines it polls.
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

// BenchmarkHeldStreams measures one daemon that holds so many open streams, all
// scheduled by itself. Each passes on a token every two seconds, so that TCP counts
// callers and engines too and only memory and processor time are of use. A few
// answers are short and end before the window does.
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
						b.Errorf("stream %d was cut: status %d, code %q, %v", n, resp.status, resp.code, resp.err)
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

// BenchmarkOperatorQueries reports the bytes of one answer to each of the operators'
// queries that grow with the fleet.
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
