package load

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ProcessUsage is the resource usage of a monitored process during a run.
type ProcessUsage struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
	// Cores is CPU time divided by the duration of the run.
	Cores float64 `json:"cores"`
	// PeakMB is the highest sampled resident set size, in units of 2^20 bytes.
	PeakMB float64 `json:"peak_mb"`
	// Ended is set if the process ended during the run; its usage is then unknown.
	Ended bool `json:"ended,omitempty"`
}

// clockTicksPerSecond is the unit of CPU times in /proc/PID/stat; it is 100 on every Linux port
// that Go supports.
const clockTicksPerSecond = 100

const sampleInterval = 500 * time.Millisecond

// processMonitor samples processes from /proc until it is stopped.
type processMonitor struct {
	begin         time.Time
	usages        []ProcessUsage
	ticks         []int64
	stopRequested chan struct{}
	done          sync.WaitGroup
}

func monitorProcesses(processes []Process) *processMonitor {
	m := &processMonitor{begin: time.Now(), stopRequested: make(chan struct{})}
	for _, p := range processes {
		m.usages = append(m.usages, ProcessUsage{Name: p.Name, PID: p.PID})
		ticks, _, err := readProcStat(p.PID)
		m.ticks = append(m.ticks, ticks)
		m.usages[len(m.usages)-1].Ended = err != nil
	}
	m.done.Go(m.run)
	return m
}

func (m *processMonitor) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.stopRequested:
			return
		case <-ticker.C:
			m.sample()
		}
	}
}

func (m *processMonitor) sample() {
	for i := range m.usages {
		usage := &m.usages[i]
		ticks, bytes, err := readProcStat(usage.PID)
		if err != nil {
			usage.Ended = true
			continue
		}
		usage.Cores = float64(ticks-m.ticks[i]) / clockTicksPerSecond / time.Since(m.begin).Seconds()
		usage.PeakMB = max(usage.PeakMB, float64(bytes)/(1<<20))
	}
}

func (m *processMonitor) stop() []ProcessUsage {
	close(m.stopRequested)
	m.done.Wait()
	m.sample()
	return m.usages
}

// readProcStat returns the CPU time of a process in clock ticks and its resident set size in bytes.
func readProcStat(pid int) (ticks, bytes int64, err error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, 0, err
	}
	// The command name in parentheses may contain spaces, so fields are indexed from after it: state
	// is 0, utime 11, stime 12 and rss, in pages, 21.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("/proc/%d/stat has only %d fields after the command name", pid, len(fields))
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return user + system, pages * int64(os.Getpagesize()), nil
}
