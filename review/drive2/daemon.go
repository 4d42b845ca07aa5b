//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the program, started with the command of the deploy file and settings as its template
// makes them for a machine of rota-jadran.
type daemon struct {
	name     string
	settings map[string]any
	callers  string
	ready    string
	dir      string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// ports hands out free ports that outgoing connections do not use.
type ports struct {
	mu   sync.Mutex
	next int
}

func newPorts() *ports { return &ports{next: 10000 + rand.IntN(20000)} }

func (p *ports) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ; ; p.next++ {
		address := fmt.Sprintf("127.0.0.1:%d", p.next)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		p.next++
		return address
	}
}

func newDaemon(name, dir, store string, p *ports) (*daemon, error) {
	d := &daemon{name: name, dir: dir, callers: p.take(), ready: p.take()}
	d.settings = map[string]any{
		"instance": name, "data_centre": "split-a", "first_start": true,
		"callers": d.callers, "readiness": d.ready, "reports": p.take(), "metrics": p.take(), "store": store,
		"cores": 0.4, "memory_mb": 134,
		"revoke_ms": 5000, "apply_ms": 2000, "leave_ms": 2000, "grace_s": 8,
		"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
		"quota_window_s": 8, "quota_over": 0.1, "quota_slack": 72000,
		"lease_ms": 3000, "renew_ms": 1200, "read_ahead_share": 0.1,
		"plain_queue": true, "eject_failing": true, "late_answers": true, "upstream_speed": true,
	}
	var err error
	d.log, err = os.Create(filepath.Join(dir, name+".log"))
	return d, err
}

// start starts the process. first is set if the whole system starts for the first time.
func (d *daemon) start(first bool) error {
	d.settings["first_start"] = first
	data, err := json.Marshal(d.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, d.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	command := exec.Command("target/cairnworksd", "routed")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAIRNWORKS_CONFIG=" + file}
	command.Stdout, command.Stderr = d.log, d.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	d.mu.Lock()
	d.command, d.ended = command, ended
	d.mu.Unlock()
	return nil
}

// signal sends a signal to the process, if it runs.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// isReady asks as the platform does.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + d.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all daemons are ready.
func waitReady(daemons []*daemon, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range daemons {
			all = all && d.isReady()
		}
		if all {
			return true
		}
	}
	return false
}
