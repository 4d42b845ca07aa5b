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

// instance is one instance of the fleet. Its process is restarted whenever it exits.
type instance struct {
	name     string
	settings settings.Routed
	// storeProxy is the instance's own proxy for connections to the store.
	storeProxy *standin.Link
	// engineLinks are the instance's own links to the engines.
	engineLinks *standin.LinkSet

	mu  sync.Mutex
	cmd *exec.Cmd
	// ready is set if a load balancer would send callers to this instance.
	ready bool
}

// restartDelay is the time between the exit of a process and the start of the next.
const restartDelay = 300 * time.Millisecond

// fleetName returns the fleet name that all instances of this run share. The foreign fleet has the
// same name, so that the name cannot be what distinguishes the two.
func fleetName() string { return fmt.Sprintf("soak-%d", os.Getpid()) }

// readAheadShare is the share of the memory for answers to slow callers.
const readAheadShare = 0.1

// newInstance prepares an instance without starting its process. Instances with first set have the
// setting FirstStart until their first restart.
func newInstance(name, store string, first bool) (*instance, error) {
	p, err := standin.NewLink(store)
	if err != nil {
		return nil, err
	}
	s := settings.DefaultRouted()
	s.Instance, s.DataCentre, s.FirstStart = name, "z", first
	// Each instance has its own address for the store, so the address cannot identify the fleet.
	s.Fleet = fleetName()
	s.Store, s.MemoryMB = p.Address(), memoryMB
	// All optional parts are on.
	s.PlainQueue, s.EjectFailing, s.QuotaOrder, s.LateAnswers, s.UpstreamSpeed, s.ReadAheadShare = true, true, true, true, true, readAheadShare
	s.RevokeMS = int(maxRevokeDelay / time.Millisecond)
	s.RetryRatio, s.RetryWindowS, s.RetrySlack = retryRatio, retryWindow.Seconds(), retrySlack
	s.QuotaWindowS, s.QuotaOver, s.QuotaSlack = quotaWindow.Seconds(), quotaOver, quotaSlack
	for _, address := range []*string{&s.Callers, &s.Readiness, &s.Reports} {
		if *address, err = loopback.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return &instance{name: name, settings: s, storeProxy: p}, nil
}

// run keeps the process running until stop is closed. Its settings and output are in dir.
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
		i.cmd = command
		i.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			_ = command.Wait() // The reason for the exit is in the log; the process is restarted.
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
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process if one is running. Only processes that this run started are
// signalled, by process ID.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return
	}
	// The process may have just exited, which makes the signal unnecessary.
	_ = i.cmd.Process.Signal(s)
}

// pollReadiness polls the readiness endpoint as a load balancer does, twice a second, until stop is
// closed.
func (i *instance) pollReadiness(stop <-chan struct{}) {
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
