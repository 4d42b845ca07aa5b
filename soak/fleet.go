package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cairnworks/cairnworks/loopback"
	"github.com/cairnworks/cairnworks/platform/standin"
	"github.com/cairnworks/cairnworks/settings"
)

// instance is one process of the fleet, which is started again when it ends.
type instance struct {
	name     string
	settings settings.Routed
	// store is its own way to the store.
	store *proxy

	mu      sync.Mutex
	command *exec.Cmd
	// ready tells that the balancer would send callers here.
	ready bool
}

// restartPause is the time between the end of a process and the start of the next.
const restartPause = 300 * time.Millisecond

// fleetName is the name of all instances of this run. The deployment that the fleet meets has it too,
// as names must not tell deployments apart.
func fleetName() string { return fmt.Sprintf("soak-%d", os.Getpid()) }

// newInstance prepares an instance; nothing runs yet.
func newInstance(name, store string, first bool) (*instance, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	s := settings.DefaultRouted()
	s.Instance, s.DataCentre, s.FirstStart = name, "z", first
	// Each instance has its own way to the store, so that its address names nothing.
	s.Fleet = fleetName()
	s.Store, s.MemoryMB = p.address(), memoryMB
	s.RevokeMS = int(revokeBound / time.Millisecond)
	s.QuotaWindowS, s.QuotaOver, s.QuotaSlack = quotaWindow.Seconds(), quotaOver, quotaSlack
	for _, address := range []*string{&s.Callers, &s.Readiness, &s.Reports} {
		if *address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return &instance{name: name, settings: s, store: p}, nil
}

// run keeps the process running until stop is closed, with its output in dir.
func (i *instance) run(daemon, dir string, stop <-chan struct{}) error {
	file := filepath.Join(dir, i.name+".json")
	out, err := os.Create(filepath.Join(dir, i.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	for first := true; ; first = false {
		i.settings.FirstStart = i.settings.FirstStart && first
		data, err := json.Marshal(i.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return err
		}
		command := exec.Command(daemon, "routed", "--settings", file)
		command.Stdout, command.Stderr = out, out
		if err := command.Start(); err != nil {
			return fmt.Errorf("%s: %w", i.name, err)
		}
		i.mu.Lock()
		i.command = command
		i.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = command.Wait() // How it ended shows in its log; it is started again.
			close(ended)
		}()
		select {
		case <-ended:
		case <-stop:
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGKILL)
			<-ended
			return nil
		}
		time.Sleep(restartPause)
	}
}

// signal sends a signal to the process if one runs. Only processes that this run has
// started are signalled, by their ids.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.command == nil || i.command.Process == nil {
		return
	}
	// One that has just ended takes no signal, which is as well.
	_ = i.command.Process.Signal(s)
}

// watch asks the instance as a balancer does, twice a second, until stop is closed.
func (i *instance) watch(stop <-chan struct{}) {
	client := &http.Client{Timeout: 400 * time.Millisecond}
	misses := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		resp, err := client.Get("http://" + i.settings.Readiness + standin.PathReady)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		i.mu.Lock()
		i.ready = misses < 2 && (i.ready || ok)
		i.mu.Unlock()
	}
}

func (i *instance) isReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ready
}
