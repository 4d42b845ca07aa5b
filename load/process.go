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

// ProcessUse is what a watched process used during a run.
type ProcessUse struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
	// Cores is processor time over run time.
	Cores float64 `json:"cores"`
	// PeakMB is the highest resident memory seen, in units of 2^20 bytes.
	PeakMB float64 `json:"peak_mb"`
	// Ended is set when the process ended during the run; its use is then unknown.
	Ended bool `json:"ended,omitempty"`
}

// clockTicks a second in /proc/PID/stat; 100 on every Linux port that Go supports.
const clockTicks = 100

const watchEvery = 500 * time.Millisecond

// watcher samples processes in /proc until stopped.
type watcher struct {
	begin  time.Time
	uses   []ProcessUse
	ticks  []int64
	quit   chan struct{}
	closed sync.WaitGroup
}

func watchProcesses(processes []Process) *watcher {
	w := &watcher{begin: time.Now(), quit: make(chan struct{})}
	for _, p := range processes {
		w.uses = append(w.uses, ProcessUse{Name: p.Name, PID: p.PID})
		ticks, _, err := readProcess(p.PID)
		w.ticks = append(w.ticks, ticks)
		w.uses[len(w.uses)-1].Ended = err != nil
	}
	w.closed.Go(w.watch)
	return w
}

func (w *watcher) watch() {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C:
			w.sample()
		}
	}
}

func (w *watcher) sample() {
	for i := range w.uses {
		use := &w.uses[i]
		ticks, bytes, err := readProcess(use.PID)
		if err != nil {
			use.Ended = true
			continue
		}
		use.Cores = float64(ticks-w.ticks[i]) / clockTicks / time.Since(w.begin).Seconds()
		use.PeakMB = max(use.PeakMB, float64(bytes)/(1<<20))
	}
}

func (w *watcher) stop() []ProcessUse {
	close(w.quit)
	w.closed.Wait()
	w.sample()
	return w.uses
}

// readProcess returns the processor time in ticks and the resident memory.
func readProcess(pid int) (ticks, bytes int64, err error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, 0, err
	}
	// The name in brackets may contain spaces; fields count from after it: state
	// is 0, utime 11, stime 12, resident pages 21.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 22 {
		return 0, 0, fmt.Errorf("unreadable /proc/%d/stat", pid)
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return user + system, pages * int64(os.Getpagesize()), nil
}
