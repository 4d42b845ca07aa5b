//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cairnworks/cairnworks/loopback"
	"github.com/cairnworks/cairnworks/platform/standin"
)

// Figures of the small deployment rota-jadran, as its sheet states them.
const (
	memoryMB      = 134
	heartbeat     = 1200 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	probeInterval = time.Second
	// startTenths is how long a daemon may take to become ready, in tenths of a second.
	startTenths  = 100
	host         = "jadran.example"
	apiKey       = "3d3zji9n73hh2b9wu3fe"
	tenant       = "huka270"
	modelService = "pisar"
	plainService = "dezurstva"
	zone         = "split-a"
)

// Path prefixes of the routes.
const (
	draftPath = "/handover/"
	swapPath  = "/swap/"
	readPath  = "/roster/"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// fleet is a small deployment: a store and engines in this process, and daemons as processes of their own.
type fleet struct {
	*record
	dir     string
	store   *standin.Store
	address string
	daemons []*daemon
	stop    chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	engines int
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: standin.NewStore(), stop: make(chan struct{})}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, f.publish()
}

// publish writes the configuration.
func (f *fleet) publish() error {
	type object = map[string]any
	route := func(name, prefix, kind, service string, timeout, slo, attempts int) object {
		return object{"name": name, "host": host, "path-prefix": prefix, "route-type": kind, "service": service, "timeout-ms": timeout,
			"slo-ms": slo, "max-attempts": attempts, "priority": 1, "public": false, "resumable": false, "gap-target-ms": 300}
	}
	value, err := json.Marshal(object{
		"version": 7,
		"routes": []object{
			route("handover-draft", draftPath, "streaming", modelService, 14000, 900, 1),
			route("swap-confirm", swapPath, "unsafe", plainService, 2000, 300, 1),
			route("roster-read", readPath, "safe", plainService, 2000, 300, 2),
		},
		"services": []object{
			{"name": modelService, "health-path": "/health", "max-conns": 310, "engine": object{
				"slots": engineSlots, "kv-capacity-tokens": engineMemory, "stride": eventTokens, "kv-hold-s": 0.5, "role-switch-s": 6.0, "hold-ms": 2000.0}},
			{"name": plainService, "health-path": "/health", "max-conns": 110},
		},
		"limits":  object{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []object{{"name": tenant, "api-keys": []string{apiKey}, "priority": 1, "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 2e6, "burst": 2e6}},
	})
	if err != nil {
		return err
	}
	return f.put("keyed.op", "config", value)
}

// put appends a record to a keyed topic of the store. A nil value deletes the key.
func (f *fleet) put(topic, key string, value []byte) error {
	data := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	data = append(append(append(data, byte(len(key))), key...), value...)
	resp, err := http.Post("http://"+f.address+"/api/log-append?part=0&topic="+topic, "application/octet-stream", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// daemon is one instance. Its process is restarted whenever it ends.
type daemon struct {
	fleet   *fleet
	name    string
	callers string
	ready   string

	mu      sync.Mutex
	process *os.Process
	isReady bool
	starts  int
}

// closeOnSignal ends all processes that were started if this one is told to end.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	f.addf("cannot run: told to end")
	f.close()
	os.Exit(failed)
}

// startDaemons starts instances as the deploy file says.
func (f *fleet) startDaemons(n int) error {
	go f.closeOnSignal()
	for i := range n {
		d := &daemon{fleet: f, name: fmt.Sprintf("edge-%s-%d", zone, i+1)}
		addresses := make([]string, 4)
		for at := range addresses {
			var err error
			if addresses[at], err = loopback.FreeAddress(); err != nil {
				return err
			}
		}
		d.callers, d.ready = addresses[0], addresses[1]
		f.daemons = append(f.daemons, d)
		f.running.Add(2)
		go d.run(addresses[2], addresses[3])
		go d.poll()
	}
	for _, d := range f.daemons {
		for waited := 0; !d.up(); waited++ {
			if waited > startTenths {
				return fmt.Errorf("%s does not become ready", d.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// settings returns the settings file, filled in as deploy/settings.json.tmpl is.
func (d *daemon) settings(reports, metrics string, first bool) ([]byte, error) {
	return json.Marshal(map[string]any{
		"instance": d.name, "data_centre": zone, "first_start": first, "callers": d.callers, "readiness": d.ready, "reports": reports, "metrics": metrics,
		"store": d.fleet.address, "cores": 0.4, "memory_mb": memoryMB, "revoke_ms": 5000, "apply_ms": 2000, "leave_ms": 2000, "grace_s": 8,
		"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 72000, "lease_ms": 3000,
		"renew_ms": 1200, "read_ahead_share": 0.1, "plain_queue": true, "eject_failing": true, "late_answers": true, "upstream_speed": true,
	})
}

func (d *daemon) run(reports, metrics string) {
	defer d.fleet.running.Done()
	file := filepath.Join(d.fleet.dir, d.name+".json")
	log, err := os.Create(filepath.Join(d.fleet.dir, d.name+".log"))
	if err != nil {
		d.fleet.addf("error %v", err)
		return
	}
	defer func() { _ = log.Close() }()
	for first := true; ; first = false {
		data, err := d.settings(reports, metrics, first)
		if err == nil {
			err = os.WriteFile(file, data, 0o600)
		}
		if err != nil {
			d.fleet.addf("error %v", err)
			return
		}
		command := exec.Command("target/cairnworksd", "routed")
		command.Env = append(os.Environ(), "CAIRNWORKS_CONFIG="+file)
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			d.fleet.addf("error %v", err)
			return
		}
		d.fleet.addf("start %s", d.name)
		d.mu.Lock()
		d.process = command.Process
		d.starts++
		d.mu.Unlock()
		ended := make(chan error, 1)
		go func() { ended <- command.Wait() }()
		select {
		case err := <-ended:
			d.fleet.addf("end %s %v", d.name, err)
		case <-d.fleet.stop:
			_ = command.Process.Kill()
			<-ended
			return
		}
		select {
		case <-time.After(restartDelay):
		case <-d.fleet.stop:
			return
		}
	}
}

// signal sends a signal to the process of the daemon, by its ID.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.addf("signal %s %v", d.name, s)
	_ = d.process.Signal(s)
}

// poll asks for the readiness once a second, as the platform does. Two misses take the daemon out.
func (d *daemon) poll() {
	defer d.fleet.running.Done()
	client := &http.Client{Timeout: probeInterval}
	for misses := 2; ; {
		resp, err := client.Get("http://" + d.ready + "/api/readiness")
		misses++
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				misses = 0
			}
		}
		d.mu.Lock()
		d.isReady = misses < 2
		d.mu.Unlock()
		select {
		case <-time.After(probeInterval):
		case <-d.fleet.stop:
			return
		}
	}
}

func (d *daemon) up() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isReady
}

// memoryMB returns the memory of the process in MB, without the pages of its program file, or 0 if there is none.
func (d *daemon) memoryMB() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(data, []byte("RssAnon:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(fields[0]), 64)
	return kb * 1024 / 1e6
}

// close ends all processes that were started.
func (f *fleet) close() {
	close(f.stop)
	f.running.Wait()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// request is a request of a client.
type request struct {
	id, method, path string
	body             []byte
	chunked          bool
	// pace, if set, is the time between two chunks of a chunked body.
	pace     time.Duration
	deadline time.Duration
	// tokens are the prompt tokens and the most output tokens of a model request, or zero.
	prompt, output int
}

func (q request) encode() (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(q.body) > 0 {
		body = bytes.NewReader(q.body)
		if q.chunked {
			body = &pacedReader{Reader: body, pace: q.pace}
		}
	}
	r, err := http.NewRequest(q.method, "http://"+host+q.path, body)
	if err != nil {
		return nil, err
	}
	r.Header = http.Header{"X-Request-Id": {q.id}, "X-Request-Deadline-Ms": {strconv.FormatInt(q.deadline.Milliseconds(), 10)}, "Authorization": {"Bearer " + apiKey}}
	if q.prompt > 0 {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", q.prompt, q.output))
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:%d", "p"+q.id, q.prompt))
	}
	return r, nil
}

// pacedReader returns a chunk of a body at a time, as a shared link lets them pass.
type pacedReader struct {
	io.Reader
	pace time.Duration
}

// Read implements io.Reader.
func (p *pacedReader) Read(to []byte) (int, error) {
	time.Sleep(p.pace)
	return p.Reader.Read(to[:min(len(to), bodiesChunk)])
}
