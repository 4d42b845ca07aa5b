//go:build review

// Command drive2 runs the cases of this review that are scripts. It exits with 1 if the rule of the case was broken, with 0
// if it held, and with 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// world is the deployment of a case.
type world struct {
	rec     *record
	store   *store
	ports   *ports
	daemons []*daemon
	dir     string
	// trouble is unset if the case runs without its disruption.
	trouble bool
}

var cases = map[string]func(*world) (int, error){
	"decode-lost": decodeLost,
	"limits":      limits,
	"quota":       quota,
	"unframed":    unframed,
	"removed":     removed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive2 CASE RECORD")
		os.Exit(failed)
	}
	code, err := run(cases[os.Args[1]], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(failed)
	}
	os.Exit(code)
}

func run(body func(*world) (int, error), recordFile string) (int, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return failed, err
	}
	keep := os.Getenv("KEEP") != ""
	defer func() {
		if !keep {
			_ = os.RemoveAll(dir)
		}
	}()
	w := &world{dir: dir, ports: newPorts(), trouble: os.Getenv("TROUBLE") != "0"}
	if w.rec, err = newRecord(recordFile); err != nil {
		return failed, err
	}
	if w.store, err = startStore(); err != nil {
		return failed, err
	}
	defer func() {
		for _, d := range w.daemons {
			d.kill()
		}
	}()
	if keep {
		fmt.Println("logs in", dir)
	}
	return body(w)
}

// addDaemons prepares and starts daemons, and waits until they are ready.
func (w *world) addDaemons(n int) error {
	for i := range n {
		d, err := newDaemon(fmt.Sprintf("edge-split-a-%d", i+1), w.dir, w.store.address, w.ports)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
		if err := d.start(true); err != nil {
			return err
		}
	}
	if !waitReady(w.daemons, 15*time.Second) {
		return fmt.Errorf("the daemons did not become ready")
	}
	return nil
}

type object = map[string]any

// configuration returns a configuration of the deployment.
func configuration(version int, headerBytes int) object {
	route := func(name, path, kind, service string, slo, timeout, attempts int) object {
		return object{"name": name, "host": host, "path-prefix": path, "route-type": kind, "service": service, "timeout-ms": timeout, "slo-ms": slo, "max-attempts": attempts, "priority": 1}
	}
	draft := route("draft", draftPath, "streaming", "pisar", 900, 14000, 1)
	draft["gap-target-ms"], draft["sticky"] = 300, true
	return object{
		"version": version,
		"routes": []object{
			draft, route("swap", plainPath, "unsafe", "dezurstva", 300, 4000, 1), route("read", readPath, "safe", "dezurstva", 300, 4000, 2),
		},
		"services": []object{
			{"name": "dezurstva", "max-conns": 110, "health-path": "/health"},
			{"name": "pisar", "max-conns": 310, "health-path": "/health", "engine": object{
				"slots": 48, "kv-capacity-tokens": 107196, "stride": 1, "kv-hold-s": 4.0, "role-switch-s": 1.0, "hold-ms": 2000, "pin-ms": 2000,
			}},
		},
		"limits":  object{"max-header-bytes": headerBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 10000},
		"tenants": []object{{"name": tenantName, "api-keys": []string{tenantKey}, "unit": "token_stream", "plain-tokens": 200}},
	}
}

// publish writes a configuration as the operator does; the store's acknowledgement is its time.
func (w *world) publish(c object) time.Time {
	data, _ := json.Marshal(c)
	w.store.put(topicOperator, "config", data)
	w.rec.say("configuration %v acknowledged", c["version"])
	return time.Now()
}
