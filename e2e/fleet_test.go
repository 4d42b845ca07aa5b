package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/settings"
)

// dataCentres are the data centres of the smaller of the project's two users.
var dataCentres = []string{"split-a", "rijeka-b", "zadar-c"}

// daemon is a running instance and its addresses.
type daemon struct {
	*process
	callerAddress, peerAddress, operatorAddress string
}

// fleet is a set of instances in front of a platform and upstreams that are simulated by
// cairnstand.
type fleet struct {
	t           testing.TB
	logAddress  string
	listAddress string
	objectSet   object.Set
	version     uint64
	keys        map[string]string
	upstreams   map[string]*process
	instances   []*daemon
}

// lookupCost is the charge of a lookup. It is high enough that a few lookups reach a limit that
// also covers the largest prompt.
const lookupCost = 200

// fleetConfig configures a fleet.
type fleetConfig struct {
	// instances, prefill, decode and plain are the numbers of instances and upstreams.
	instances, prefill, decode, plain int
	// tokenTime is the time that the engines take for a token.
	tokenTime time.Duration
	// limit applies to both organisations; the zero value means a limit that no test reaches.
	limit object.Limit
	// slots is the maximum number of concurrent requests of an upstream; 0 means 20.
	slots int
	// engineArgs are additional arguments of every engine.
	engineArgs []string
	// graceSeconds is how long a draining instance still accepts requests.
	graceSeconds int
	// drainSeconds limits the time of a drain; 0 means no limit.
	drainSeconds int
	// seeds are additional peer addresses that each instance contacts when it starts.
	seeds []string
	// firstPeerAddress is the peer address of the first instance; if empty, a free port is used.
	firstPeerAddress string
}

// newFleet starts the simulated platform, the upstreams and the instances, and waits until each
// instance is ready.
func newFleet(t testing.TB, cfg fleetConfig) *fleet {
	t.Helper()
	f := &fleet{t: t, keys: map[string]string{"alpha": "key-of-alpha", "beta": "key-of-beta"}, upstreams: map[string]*process{}}
	logProcess := startProcess(t, "log", "cairnstand", "log", "--listen", "127.0.0.1:0")
	f.logAddress = logProcess.outputField(t, "address=", "address")
	f.upstreams["log"] = logProcess
	listProcess := startProcess(t, "list", "cairnstand", "list", "--listen", "127.0.0.1:0", "--lag", "1s")
	f.listAddress = listProcess.outputField(t, "address=", "address")
	f.objectSet = f.newObjectSet(cfg)
	f.publish()
	for n := range cfg.instances {
		f.startInstance(n, func(s *settings.Settings) {
			s.DrainGraceSeconds, s.DrainSeconds = cfg.graceSeconds, cfg.drainSeconds
			s.Peers.Seeds = append(s.Peers.Seeds, cfg.seeds...)
			if n == 0 && cfg.firstPeerAddress != "" {
				s.Peers.Address = cfg.firstPeerAddress
			}
		})
	}
	f.waitReady()
	return f
}

func (f *fleet) newObjectSet(cfg fleetConfig) object.Set {
	limit := cfg.limit
	if limit.TokensPerSecond == 0 {
		// Buckets start empty; at this rate they contain enough tokens after a microsecond.
		limit = object.Limit{TokensPerSecond: 1_000_000_000, Burst: 10_000_000_000}
	}
	limit.Name = "member"
	if cfg.slots == 0 {
		cfg.slots = 20
	}
	set := object.Set{
		Limits: []object.Limit{limit},
		Services: []object.Service{
			{Name: "pisar", Kind: object.KindModel, Models: []string{"pisar-small"}, MaxPromptTokens: 8000, MaxOutputTokens: 1000, MaxWaitMS: 20_000},
			{Name: "dezurstva", Kind: object.KindPlain, MaxWaitMS: 20_000, Calls: []object.CallRule{
				{Method: http.MethodGet, Path: "/roster/", Idempotent: true, Cost: lookupCost},
				{Method: http.MethodPost, Path: "/swaps"},
			}},
		},
	}
	for _, name := range []string{"alpha", "beta"} {
		set.Organisations = append(set.Organisations, object.Organisation{Name: name, Limit: limit.Name})
		set.Keys = append(set.Keys, object.Key{Name: name + "-1", Organisation: name, Hash: object.HashKey(f.keys[name])})
	}
	engineArgs := []string{"engine", "--listen", "127.0.0.1:0", "--crash-in-place", "--token-time", cfg.tokenTime.String()}
	engineArgs = append(engineArgs, cfg.engineArgs...)
	for n := range cfg.prefill {
		set.Upstreams = append(set.Upstreams, f.startUpstream(fmt.Sprintf("prefill-%d", n), "pisar", object.RolePrefill, append(engineArgs, "--role", "prefill")))
	}
	for n := range cfg.decode {
		set.Upstreams = append(set.Upstreams, f.startUpstream(fmt.Sprintf("decode-%d", n), "pisar", object.RoleDecode, append(engineArgs, "--role", "decode")))
	}
	for n := range cfg.plain {
		set.Upstreams = append(set.Upstreams, f.startUpstream(fmt.Sprintf("plain-%d", n), "dezurstva", object.RolePlain, []string{"plain", "--listen", "127.0.0.1:0", "--crash-in-place"}))
	}
	for n := range set.Upstreams {
		set.Upstreams[n].Slots = cfg.slots
	}
	return set
}

func (f *fleet) startUpstream(name, service string, role object.Role, args []string) object.Upstream {
	p := startProcess(f.t, name, "cairnstand", args...)
	f.upstreams[name] = p
	u := object.Upstream{
		Name: name, Service: service, Role: role, Address: p.outputField(f.t, "address=", "address"),
		DataCentre: dataCentres[len(f.upstreams)%len(dataCentres)],
	}
	if role == object.RoleDecode {
		u.Pieces, u.LinkBytesPerSecond = 400, 25_000_000_000
	}
	return u
}

// publish publishes the fleet's object set as the successor of the latest version.
func (f *fleet) publish() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	version, err := config.NewPublisher(f.newLogClient()).Publish(ctx, f.objectSet, f.version, "test")
	assert.NilError(f.t, err)
	f.version = version
}

func (f *fleet) newLogClient() port.Log { return httpport.NewLog(f.logAddress, nil) }

// startInstance starts instance n with all earlier instances as its seeds. adjust, unless it is
// nil, modifies the settings.
func (f *fleet) startInstance(n int, adjust func(*settings.Settings)) *daemon {
	f.t.Helper()
	s := settings.Default()
	s.Instance, s.DataCentre = fmt.Sprintf("instance-%d", n), dataCentres[n%len(dataCentres)]
	s.Callers.Address, s.Peers.Address, s.Operators.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Platform.Log, s.Platform.List = f.logAddress, f.listAddress
	for _, other := range f.instances {
		s.Peers.Seeds = append(s.Peers.Seeds, other.peerAddress)
	}
	if adjust != nil {
		adjust(&s)
	}
	data, err := json.Marshal(s)
	assert.NilError(f.t, err)
	file := filepath.Join(f.t.TempDir(), "settings.json")
	assert.NilError(f.t, os.WriteFile(file, data, 0o600))
	d := &daemon{process: startProcess(f.t, s.Instance, "cairnworksd", "run", "--settings", file)}
	d.callerAddress = d.outputField(f.t, "msg=started", "callers")
	d.peerAddress = d.outputField(f.t, "msg=started", "peers")
	d.operatorAddress = d.outputField(f.t, "msg=started", "operators")
	f.instances = append(f.instances, d)
	return d
}

// withDrainGrace returns a function that sets for how many seconds a draining instance still
// accepts requests.
func withDrainGrace(seconds int) func(*settings.Settings) {
	return func(s *settings.Settings) { s.DrainGraceSeconds = seconds }
}

// waitReady waits until every instance reports that it is ready.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, d := range f.instances {
		eventually(f.t, d.name+" ready", func() bool { return probeStatus(d.operatorAddress, "/readyz") == http.StatusOK })
	}
}

// probeStatus returns the HTTP status code of a GET request, or 0 if the request failed.
func probeStatus(address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// setFaults replaces the injected faults of a simulated upstream or log.
func (f *fleet) setFaults(upstream string, faults any) {
	f.t.Helper()
	data, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	resp, err := http.Post("http://"+f.upstreamAddress(upstream)+"/faults", "application/json", bytes.NewReader(data))
	assert.NilError(f.t, err)
	resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode/100, 2, upstream)
}

// readStats reads the statistics of a simulated upstream or log.
func (f *fleet) readStats(upstream string, target any) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.upstreamAddress(upstream) + "/stats")
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(target))
}

func (f *fleet) upstreamAddress(upstream string) string {
	if upstream == "log" {
		return f.logAddress
	}
	return f.upstreams[upstream].outputField(f.t, "address=", "address")
}
