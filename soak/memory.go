package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// memoryInterval is the interval at which the memory of each process is read.
const memoryInterval = 20 * time.Millisecond

// watchMemory ends an instance's process whenever its memory exceeds memoryMB, as a platform does, and records that.
func (r *run) watchMemory(i *instance, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryInterval):
		}
		if mb := i.anonymousMB(); mb > memoryMB {
			r.ledger.addMemoryExceeded(i.name, mb, time.Now())
			i.signal(syscall.SIGKILL)
		}
	}
}

// anonymousMB returns the memory of the process in MB, without the pages of its program file. It is 0 if there is no process.
func (i *instance) anonymousMB() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0 // The process has just ended.
	}
	_, rest, _ := bytes.Cut(data, []byte("RssAnon:"))
	kb, _, _ := bytes.Cut(bytes.TrimSpace(rest), []byte(" "))
	n, err := strconv.ParseFloat(string(kb), 64)
	if err != nil {
		return 0
	}
	return n * 1024 / 1e6
}

// addMemoryExceeded records a process that was ended because of its memory.
func (l *ledger) addMemoryExceeded(instance string, mb float64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory = append(l.memory, Finding{"memory", "", fmt.Sprintf("%s had %.0f MB, %d are allowed", instance, mb, memoryMB), at})
}
