// Package soak runs real instances as separate processes on loopback, injects faults from outside
// and checks the router's guarantees against what callers and engines observe. The seed determines
// the fault schedule, but not the interleaving of faults and requests, which differs between runs.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// Parameters of the fleet and of its guarantees.
const (
	// maxRevokeDelay is how long a withdrawn key may still be accepted. clockSlack is the tolerance
	// for the time between an event and its record at the engines on a busy machine.
	maxRevokeDelay = 5 * time.Second
	clockSlack     = time.Second
	// maxLeaveDelay is how long an instance may still send requests to a leaving engine.
	maxLeaveDelay = 2 * time.Second
	// undisturbedTime is how long an instance must have been free of faults for maxLeaveDelay to
	// apply to it.
	undisturbedTime = 3 * time.Second
	// engineDrainTime is the minimum time that an engine serves after it announced that it leaves.
	engineDrainTime = 3 * time.Second
	// memoryMB is the memory of the smallest machine.
	memoryMB = 112

	quotaWindow = 8 * time.Second
	quotaRate   = 10 * standin.DraftTokens
	quotaBurst  = 10 * standin.DraftTokens
	quotaOver   = 0.1
	quotaSlack  = 20 * standin.DraftTokens

	// unlimitedOrganisation has no quota and its keys are rotated; limitedOrganisation has a quota.
	unlimitedOrganisation = "open"
	limitedOrganisation   = "limited"

	plainEngines, prefillEngines, decodeEngines = 3, 2, 3
	// recoveryTimeout bounds the wait until all instances are ready after the faults; half of it is
	// added for the fleet to recover fully. probeDuration is how long callers must then be served.
	recoveryTimeout = 10 * time.Second
	probeDuration   = 3 * time.Second
	// keyOverlap is how long a new key is valid before the previous one is withdrawn.
	keyOverlap = 3 * time.Second
	// startTimeout bounds the time until all instances are ready at the start.
	startTimeout = 20 * time.Second
)

// Options are the options of a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Callers   int
	// Daemon is the path of the program to run as an instance, Dir the directory for logs and the
	// report.
	Daemon, Dir string
	Progress    io.Writer
	// CrashingOnly leaves out all faults but those of crashingKinds.
	CrashingOnly bool
}

// proxiedEngine is an engine and the proxy in front of it.
type proxiedEngine struct {
	engine *standin.Engine
	proxy  *standin.Link
}

type run struct {
	Options
	store *standin.Store
	// relays forward the reports that instances send to one another.
	relays *relaySet
	// foreign is another fleet that this fleet must not mix with.
	foreign   *foreignFleet
	engines   []proxiedEngine
	instances []*instance
	ledger    *ledger
	faults    []fault
	startedAt time.Time
	// firstID is the id of the fleet at the start.
	firstID  string
	requests atomic.Int64
	standIn  *standin.Engines
	// favoured is the instance that gets most requests, or nil.
	favoured atomic.Pointer[instance]
	// cleanups are called by close, in reverse order.
	cleanups []func()

	partsMu sync.Mutex
	// badParts are the parts that crash engines.
	badParts []string

	mu sync.Mutex
	// key is the newest key of unlimitedOrganisation that is valid at all instances, staleKey the
	// one that was withdrawn last.
	key, staleKey string
	version       uint64
}

// Run executes the schedule of one seed and returns its report. An error means that the run could
// not be completed; violations are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	r := &run{Options: o, store: standin.NewStore(), relays: newRelaySet(), ledger: newLedger(o.Instances), key: "k0", staleKey: "none"}
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	r.faults = newSchedule(o.Seed, o.Length, o.Instances, len(r.engines))
	if o.CrashingOnly {
		r.faults = slices.DeleteFunc(r.faults, func(f fault) bool { return !isCrashing(f) })
	}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// prepare sets up both fleets and starts the engines, but no instances.
func (r *run) prepare() error {
	other, err := newForeignFleet()
	if err != nil {
		return err
	}
	r.foreign = other
	r.cleanups = append(r.cleanups, r.relays.close, other.close)
	r.publish(r.key)
	r.ledger.markKeyWithdrawn(foreignKey)
	r.cleanups = append(r.cleanups, r.stopEngines)
	if err := r.startEngines(); err != nil {
		return err
	}
	for n := range r.Instances {
		if err := r.addInstance(instanceName(n)); err != nil {
			return err
		}
	}
	return nil
}

// addInstance prepares an instance with its own view of the store, which gives the addresses of
// relays in place of those of other instances.
func (r *run) addInstance(name string) error {
	links := standin.NewLinkSet()
	server := httptest.NewServer(standin.View{Store: r.store, EngineAddress: links.EngineAddress, Address: func(other, address string) string {
		return r.relays.address(name, other, address)
	}})
	r.cleanups = append(r.cleanups, links.Close, server.Close)
	i, err := newInstance(name, server.Listener.Addr().String(), true)
	if err != nil {
		return err
	}
	i.engineLinks = links
	r.cleanups = append(r.cleanups, i.storeProxy.Close)
	r.instances = append(r.instances, i)
	return r.relays.add(name, i.settings.Reports)
}

// close releases what prepare set up, in reverse order.
func (r *run) close() {
	for _, cleanup := range slices.Backward(r.cleanups) {
		cleanup()
	}
}

func (r *run) startEngines() error {
	all := standin.NewEngines(r.store, r.ledger.addRun)
	all.OnOrder, all.OnAnswer, all.OnArrival = r.ledger.addOrder, r.ledger.addStatement, r.ledger.addArrival
	all.Sever, all.OnCrash = r.sever, r.ledger.addCrash
	r.standIn = all
	all.SetNoise(r.Seed)
	start := func(n int, service, stage string) error {
		for range n {
			var p *standin.Link
			e, err := all.Start(service, stage, func(address string) (string, error) {
				made, err := standin.NewLink(address)
				if err != nil {
					return "", err
				}
				p = made
				return p.Address(), nil
			})
			if err != nil {
				return err
			}
			r.engines = append(r.engines, proxiedEngine{e, p})
		}
		return nil
	}
	if err := start(plainEngines, standin.PlainService, ""); err != nil {
		return err
	}
	if err := start(prefillEngines, standin.ModelService, standin.StagePrefill); err != nil {
		return err
	}
	return start(decodeEngines, standin.ModelService, standin.StageDecode)
}

func (r *run) stopEngines() {
	for _, e := range r.engines {
		e.engine.Stop()
		e.proxy.Close()
	}
}

// execute runs the instances, the callers and the faults.
func (r *run) execute(ctx context.Context) error {
	stop := make(chan struct{})
	var processes errgroup.Group
	for _, i := range r.instances {
		processes.Go(func() error { return i.run(r.Daemon, r.Dir, stop) })
		go i.pollReadiness(stop)
		go r.watchMemory(i, stop)
	}
	processes.Go(func() error { return r.foreign.instance.run(r.Daemon, r.Dir, stop) })
	processes.Go(func() error { return r.foreign.relistInstances(r.store, r.instances, stop) })
	end := func() error {
		close(stop)
		return processes.Wait()
	}
	if !r.waitUntil(startTimeout, r.allReady) {
		_ = end()
		return fmt.Errorf("the instances were not ready within %v; see the logs in %s", startTimeout, r.Dir)
	}
	r.startedAt, r.firstID = time.Now(), r.fleetID()
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range r.Callers {
		callers.Go(func() { r.runCaller(callersCtx, n) })
	}
	r.injectFaults(ctx)
	r.probeRecovery()
	stopCallers()
	callers.Wait()
	return end()
}

// waitUntil polls a condition until it holds or the timeout expires, and reports whether it holds.
func (r *run) waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (r *run) allReady() bool {
	for _, i := range r.instances {
		if !i.isReady() {
			return false
		}
	}
	return true
}

// injectFaults injects the faults of the schedule at their times and waits for their end.
func (r *run) injectFaults(ctx context.Context) {
	var running sync.WaitGroup
	for _, f := range r.faults {
		running.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(r.startedAt.Add(f.At))):
			}
			for _, k := range slices.Concat(baseKinds, delayKinds, reportLossKinds, fleetWideKinds, needKinds, partitionKinds, statementKinds, crashingKinds, massKinds, drillKinds, failingKinds, slowKinds) {
				if k.name == f.Kind {
					start := time.Now()
					k.apply(r, f)
					r.ledger.addFaultPeriod(r.disturbedInstance(f), start, time.Now())
				}
			}
		})
	}
	go r.showProgress(ctx)
	running.Wait()
}

func (r *run) showProgress(ctx context.Context) {
	for ctx.Err() == nil && time.Since(r.startedAt) < r.Length {
		time.Sleep(5 * time.Second)
		fmt.Fprintf(r.Progress, "seed %d: %3.0f s, %d requests, %d findings\n", r.Seed, time.Since(r.startedAt).Seconds(), r.requests.Load(), len(r.ledger.check()))
	}
}

// probeRecovery gives the fleet time to recover and then waits for probeDuration, in which it must
// serve callers.
func (r *run) probeRecovery() {
	for _, e := range r.engines {
		e.proxy.ClearFaults()
	}
	r.waitUntil(recoveryTimeout, r.allReady)
	time.Sleep(recoveryTimeout / 2)
	r.ledger.startProbe(time.Now())
	time.Sleep(probeDuration)
}

// Instance names in a faultPeriod of a fault that affects all instances, engines or the store only, and none of them:
// crashingKinds have checks of their own.
const (
	allInstances = ""
	enginesOnly  = "engines"
	unaffected   = "none"
)

// disturbedInstance returns the name of the instance that a fault affects, or one of the names above.
func (r *run) disturbedInstance(f fault) string {
	switch {
	case f.Kind == "store down" || strings.HasPrefix(f.Kind, "drill") || strings.HasPrefix(f.Kind, "all "):
		return allInstances
	case isCrashing(f):
		return unaffected
	case strings.HasPrefix(f.Kind, "engine") || strings.HasPrefix(f.Kind, "upstream") || strings.HasSuffix(f.Kind, "late"):
		return enginesOnly
	default:
		return r.targetInstance(f).name
	}
}

func (r *run) targetInstance(f fault) *instance   { return r.instances[f.Target%len(r.instances)] }
func (r *run) targetEngine(f fault) proxiedEngine { return r.engines[f.Target%len(r.engines)] }

// publish writes the next configuration, with the given keys for unlimitedOrganisation.
func (r *run) publish(keys ...string) {
	r.version += 1 + uint64(len(keys))
	r.store.Publish(r.version, []standin.Organisation{
		{Name: unlimitedOrganisation, Keys: keys}, {Name: limitedOrganisation, Keys: []string{"limited"}, Rate: quotaRate, Burst: quotaBurst},
	})
	r.foreign.publish(r.version)
}

// rotateKey adds a key and withdraws the previous one after keyOverlap.
func (r *run) rotateKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, next := r.key, fmt.Sprintf("k%d", r.version+1)
	r.publish(old, next)
	r.ledger.markKeyAdded(next)
	time.Sleep(keyOverlap)
	r.publish(next)
	r.ledger.markKeyWithdrawn(old)
	r.key, r.staleKey = next, old
}

// currentKeys returns the valid key and the one that was withdrawn last. During a rotation it
// returns empty strings instead of blocking the caller.
func (r *run) currentKeys() (current, staleKey string) {
	if !r.mu.TryLock() {
		return "", ""
	}
	defer r.mu.Unlock()
	return r.key, r.staleKey
}

// maxAnswerBytes is more than any answer has. A caller that has read as many leaves.
const maxAnswerBytes = 1 << 20

// requestTimeout bounds how long a caller waits for an answer.
const requestTimeout = 5 * time.Second

// runCaller runs one caller, which sends one request after another over persistent connections.
func (r *run) runCaller(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(r.Seed, uint64(n)+2))
	key, staleKey := "k0", "none"
	for count := 0; ctx.Err() == nil; count++ {
		if current, last := r.currentKeys(); current != "" {
			key, staleKey = current, last
		}
		s := &request{kind: standin.Kind(rng.IntN(4)), organisation: unlimitedOrganisation, key: key, sentAt: time.Now()}
		switch n % 6 {
		case 0:
			s.kind, s.organisation, s.key = standin.Draft, limitedOrganisation, "limited"
		case 1:
			s.key = staleKey
		case 2:
			if count%3 == 0 {
				s.key = foreignKey
			}
		}
		if s.kind.Streamed() {
			s.parts, s.badPart = r.pickParts(rng)
		}
		r.sendRequest(client, fmt.Sprintf("s%d.c%d.%d", r.Seed, n, count), r.pickInstance(rng), s)
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

// pickInstance selects an instance as a load balancer does: a random ready one, or any if none is
// ready.
func (r *run) pickInstance(rng *rand.Rand) *instance {
	if i := r.pickFavoured(rng); i != nil {
		return i
	}
	var ready []*instance
	for _, i := range r.instances {
		if i.isReady() {
			ready = append(ready, i)
		}
	}
	if len(ready) == 0 {
		ready = r.instances
	}
	return ready[rng.IntN(len(ready))]
}

// sendRequest sends one request and records its answer.
func (r *run) sendRequest(client *http.Client, id string, to *instance, s *request) {
	request, err := standin.Request(to.settings.Callers, id, s.key, s.kind)
	if err != nil {
		return
	}
	if len(s.parts) > 0 {
		standin.SetParts(request, s.parts...)
	}
	r.requests.Add(1)
	s.instance = to.name
	r.ledger.addRequest(id, s)
	resp, err := client.Do(request)
	if err != nil {
		r.ledger.recordAnswer(id, 0, "", "", true)
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	_ = resp.Body.Close()
	whole := err == nil && len(body) < maxAnswerBytes
	r.ledger.recordAnswer(id, resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body), !whole)
}
