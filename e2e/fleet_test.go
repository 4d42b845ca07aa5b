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

// dataCentres are those of the smaller of the two users.
var dataCentres = []string{"split-a", "rijeka-b", "zadar-c"}

// daemon is one running instance and its addresses.
type daemon struct {
	*process
	callerAddress, peerAddress, operatorAddress string
}

// fleet is a platform of stand-ins with instances in front.
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

// rosterCost is the charge of a lookup, so that a few of them reach a limit that
// also covers the largest prompt.
const lookupCost = 200

// fleetConfig sizes a fleet.
type fleetConfig struct {
	instances, prefill, decode, plain int
	// tokenTime is the engines' time for a token.
	tokenTime time.Duration
	// limit applies to both organisations; zero means one that no test reaches.
	limit object.Limit
	// slots is how many requests an upstream may be given at once; 0 means 20.
	slots int
	// engineArgs are further arguments of every engine.
	engineArgs []string
	// graceSeconds is how long a draining instance still takes requests.
	graceSeconds int
	// seeds are further peer addresses that each instance tries at its start.
	seeds []string
	// firstPeers is the address for other instances of the first one; empty takes a free port.
	firstPeerAddress string
}

// newFleet starts everything and waits until each instance is ready.
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
			s.DrainGraceSeconds = cfg.graceSeconds
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
		// Buckets start empty; at this rate they hold enough a microsecond later.
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
			{Name: "dezurstva", Kind: object.KindPlain, MaxWaitMS: 20_000, Calls: []object.Call{
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

// publish publishes the fleet's set on top of the last version.
func (f *fleet) publish() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	version, err := config.NewPublisher(f.newLogClient()).Publish(ctx, f.objectSet, f.version, "test")
	assert.NilError(f.t, err)
	f.version = version
}

func (f *fleet) newLogClient() port.Log { return httpport.NewLog(f.logAddress, nil) }

// startInstance starts instance n with the others as its seeds; adjust changes its settings,
// unless it is nil.
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

// withGrace sets how many seconds a draining instance still takes requests.
func withDrainGrace(seconds int) func(*settings.Settings) {
	return func(s *settings.Settings) { s.DrainGraceSeconds = seconds }
}

// waitReady waits until every instance is ready and sees all the others.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, d := range f.instances {
		eventually(f.t, d.name+" ready", func() bool { return probeStatus(d.operatorAddress, "/readyz") == http.StatusOK })
	}
}

func probeStatus(address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// fault switches a fault on at a stand-in.
func (f *fleet) setFaults(upstream string, faults any) {
	f.t.Helper()
	data, err := json.Marshal(faults)
	assert.NilError(f.t, err)
	resp, err := http.Post("http://"+f.upstreamAddress(upstream)+"/faults", "application/json", bytes.NewReader(data))
	assert.NilError(f.t, err)
	resp.Body.Close()
	assert.Equal(f.t, resp.StatusCode/100, 2, upstream)
}

// stats reads what a stand-in saw.
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
