// Package soak runs the real instances as separate processes on loopback, injects faults
// from outside them and checks while they run, from what callers and engines see, that
// the router keeps its promises. A seed fixes the schedule of faults; how they meet the
// requests differs from run to run.
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// The deployment of a run.
const (
	// revokeBound is how long a withdrawn key may go on working, clockSlack what the
	// engines' view of it may differ by on a busy machine.
	revokeBound = 5 * time.Second
	clockSlack  = time.Second
	// leaveBound is how long an instance may go on sending to an engine that leaves.
	leaveBound = 2 * time.Second
	// contactTime is how long an instance must have been undisturbed to be held to that.
	contactTime = 3 * time.Second
	// leaveTime is how long an engine serves on after it has said that it leaves.
	leaveTime = 3 * time.Second
	memoryMB  = 200

	quotaWindow = 8 * time.Second
	quotaRate   = 10 * standin.DraftTokens
	quotaBurst  = 10 * standin.DraftTokens
	quotaOver   = 0.1
	quotaSlack  = 20 * standin.DraftTokens

	// open is an organisation without a quota, whose keys change; limited has one.
	open    = "open"
	limited = "limited"

	plainEngines, prefillEngines, decodeEngines = 3, 2, 3
	// settleTime is how long the fleet may take to serve as before once faults end, and
	// probeTime how long it must then do so.
	settleTime = 10 * time.Second
	probeTime  = 3 * time.Second
	// keyOverlap is how long the next key holds before the one before is withdrawn.
	keyOverlap = 3 * time.Second
	// startTime bounds the start of the fleet.
	startTime = 20 * time.Second
)

// Options of a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Instances int
	Callers   int
	// Daemon is the program of an instance, Dir takes logs and the report.
	Daemon, Dir string
	Progress    io.Writer
}

// way is an engine and the proxy before it.
type way struct {
	engine *standin.Engine
	way    *proxy
}

type run struct {
	Options
	store *standin.Store
	// relays carry what instances report to one another.
	relays *relays
	// stranger is the other deployment that the fleet meets.
	stranger  *stranger
	engines   []way
	instances []*instance
	ledger    *ledger
	faults    []fault
	began     time.Time
	requests  atomic.Int64
	// closers end what was begun.
	closers []func()

	mu sync.Mutex
	// key is the newest key of the open organisation that holds everywhere, stale the
	// last that was withdrawn.
	key, stale string
	version    uint64
}

// Run plays one seed and returns its report. An error means that it could not be played.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	r := &run{Options: o, store: standin.NewStore(), relays: newRelays(), ledger: newLedger(), key: "k0", stale: "none"}
	defer r.close()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	r.faults = schedule(o.Seed, o.Length, o.Instances, len(r.engines))
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

// prepare makes both deployments ready to run.
func (r *run) prepare() error {
	other, err := newStranger()
	if err != nil {
		return err
	}
	r.stranger = other
	r.closers = append(r.closers, r.relays.close, other.close)
	r.publish(r.key)
	r.ledger.withdraw(strangersKey)
	r.closers = append(r.closers, r.stopEngines)
	if err := r.startEngines(); err != nil {
		return err
	}
	for n := range r.Instances {
		if err := r.addInstance("i" + strconv.Itoa(n)); err != nil {
			return err
		}
	}
	return nil
}

// addInstance prepares an instance with a way of its own to the store, which tells it the
// relays' addresses in place of other instances'.
func (r *run) addInstance(name string) error {
	server := httptest.NewServer(standin.View{Store: r.store, Address: func(other, address string) string {
		return r.relays.address(name, other, address)
	}})
	r.closers = append(r.closers, server.Close)
	i, err := newInstance(name, server.Listener.Addr().String(), true)
	if err != nil {
		return err
	}
	r.closers = append(r.closers, i.store.close)
	r.instances = append(r.instances, i)
	return r.relays.add(name, i.settings.Reports)
}

// close ends what prepare has begun, the last first.
func (r *run) close() {
	for _, end := range slices.Backward(r.closers) {
		end()
	}
}

func (r *run) startEngines() error {
	all := standin.NewEngines(r.store, r.ledger.ran)
	all.OnOrder = r.ledger.ordered
	start := func(n int, service, stage string) error {
		for range n {
			var p *proxy
			e, err := all.Start(service, stage, func(address string) (string, error) {
				made, err := newProxy(address)
				if err != nil {
					return "", err
				}
				p = made
				return p.address(), nil
			})
			if err != nil {
				return err
			}
			r.engines = append(r.engines, way{e, p})
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
		e.way.close()
	}
}

// play runs the processes, the callers and the faults.
func (r *run) play(ctx context.Context) error {
	stop := make(chan struct{})
	var processes errgroup.Group
	for _, i := range r.instances {
		processes.Go(func() error { return i.run(r.Daemon, r.Dir, stop) })
		go i.watch(stop)
	}
	processes.Go(func() error { return r.stranger.instance.run(r.Daemon, r.Dir, stop) })
	processes.Go(func() error { return r.stranger.meet(r.store, r.instances, stop) })
	end := func() error {
		close(stop)
		return processes.Wait()
	}
	if !r.await(startTime, r.allReady) {
		_ = end()
		return fmt.Errorf("the fleet is not ready after %v; see the logs in %s", startTime, r.Dir)
	}
	r.began = time.Now()
	callers, leave := context.WithCancel(ctx)
	var calling sync.WaitGroup
	for n := range r.Callers {
		calling.Go(func() { r.call(callers, n) })
	}
	r.inject(ctx)
	r.settle()
	leave()
	calling.Wait()
	return end()
}

// await waits until something holds, at most for a time.
func (r *run) await(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
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

// inject plays the schedule of faults.
func (r *run) inject(ctx context.Context) {
	var playing sync.WaitGroup
	for _, f := range r.faults {
		playing.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(r.began.Add(f.At))):
			}
			for _, k := range slices.Concat(kinds, lateKinds, reportKinds, fleetKinds) {
				if k.name == f.Kind {
					began := time.Now()
					k.apply(r, f)
					r.ledger.disturbed(r.disturbs(f), began, time.Now())
				}
			}
		})
	}
	go r.showProgress(ctx)
	playing.Wait()
}

func (r *run) showProgress(ctx context.Context) {
	for ctx.Err() == nil && time.Since(r.began) < r.Length {
		time.Sleep(5 * time.Second)
		fmt.Fprintf(r.Progress, "seed %d: %3.0f s, %d requests, %d findings\n", r.Seed, time.Since(r.began).Seconds(), r.requests.Load(), len(r.ledger.check()))
	}
}

// settle waits until the fleet has had time to recover, and then a while in which it must
// serve.
func (r *run) settle() {
	for _, e := range r.engines {
		e.way.calm()
	}
	r.await(settleTime, r.allReady)
	time.Sleep(settleTime / 2)
	r.ledger.probeFrom(time.Now())
	time.Sleep(probeTime)
}

// everybody stands for all instances among those that a fault disturbs.
const everybody = ""

// disturbs names the instance that a fault disturbs, or everybody.
func (r *run) disturbs(f fault) string {
	switch {
	case f.Kind == "store down" || strings.HasPrefix(f.Kind, "all "):
		return everybody
	case strings.HasPrefix(f.Kind, "engine") || strings.HasSuffix(f.Kind, "late"):
		return "none"
	default:
		return r.instance(f).name
	}
}

func (r *run) instance(f fault) *instance { return r.instances[f.Target%len(r.instances)] }
func (r *run) engine(f fault) way         { return r.engines[f.Target%len(r.engines)] }

// publish writes the next configuration, with keys of the open organisation.
func (r *run) publish(keys ...string) {
	r.version += 1 + uint64(len(keys))
	r.store.Publish(r.version, []standin.Organisation{
		{Name: open, Keys: keys}, {Name: limited, Keys: []string{"limited"}, Rate: quotaRate, Burst: quotaBurst},
	})
	r.stranger.publish(r.version)
}

// renewKey adds a key, and some time later withdraws the one before.
func (r *run) renewKey() {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, next := r.key, fmt.Sprintf("k%d", r.version+1)
	r.publish(old, next)
	time.Sleep(keyOverlap)
	r.publish(next)
	r.ledger.withdraw(old)
	r.key, r.stale = next, old
}

// keys returns the key that holds and the one that was withdrawn last. They change
// seldom, and a caller need not wait for a change that is under way.
func (r *run) keys() (current, stale string) {
	if !r.mu.TryLock() {
		return "", ""
	}
	defer r.mu.Unlock()
	return r.key, r.stale
}

// answerTime is how long a caller waits for an answer.
const answerTime = 5 * time.Second

// call is one caller, who keeps its connections and asks again and again.
func (r *run) call(ctx context.Context, n int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, Timeout: answerTime}
	defer client.CloseIdleConnections()
	rng := rand.New(rand.NewPCG(r.Seed, uint64(n)+2))
	key, stale := "k0", "none"
	for count := 0; ctx.Err() == nil; count++ {
		if current, last := r.keys(); current != "" {
			key, stale = current, last
		}
		s := &sent{kind: standin.Kind(rng.IntN(3)), organisation: open, key: key, at: time.Now()}
		switch n % 6 {
		case 0:
			s.kind, s.organisation, s.key = standin.Draft, limited, "limited"
		case 1:
			s.key = stale
		case 2:
			if count%3 == 0 {
				s.key = strangersKey
			}
		}
		r.ask(client, fmt.Sprintf("s%d.c%d.%d", r.Seed, n, count), r.pick(rng), s)
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
	}
}

// pick returns an instance as the balancer does: one in rotation, else any.
func (r *run) pick(rng *rand.Rand) *instance {
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

// ask sends one request and notes its answer.
func (r *run) ask(client *http.Client, id string, to *instance, s *sent) {
	request, err := standin.Request(to.settings.Callers, id, s.key, s.kind)
	if err != nil {
		return
	}
	r.requests.Add(1)
	s.instance = to.name
	r.ledger.send(id, s)
	resp, err := client.Do(request)
	if err != nil {
		r.ledger.answered(id, 0, "", "", true)
		return
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	r.ledger.answered(id, resp.StatusCode, resp.Header.Get("X-Response-Signature"), string(body), err != nil)
}
