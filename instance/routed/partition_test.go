package routed_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/instance/routed"
	"github.com/cairnworks/cairnworks/platform"
	"github.com/cairnworks/cairnworks/platform/standin"
	"github.com/cairnworks/cairnworks/settings"
)

// partitionFleet is a fleet of instances, each with its own links to the engines.
type partitionFleet struct {
	store     *standin.Store
	engines   *standin.Engines
	running   []*standin.Engine
	instances []*linkedInstance
	// ejectFailing is the setting of instances that are started.
	ejectFailing bool

	mu       sync.Mutex
	runs     map[string]int
	allRuns  []standin.Run
	arrivals []standin.Arrival
	// crashes are the times at which engines crashed.
	crashes []time.Time
}

// linkedInstance is an instance with its links to the engines.
type linkedInstance struct {
	settings settings.Routed
	client   *http.Client
	links    *standin.LinkSet
	// stop ends the instance.
	stop func()
}

func newPartitionFleet(t *testing.T, size int) *partitionFleet {
	t.Helper()
	return newFleet(t, size, map[string][]string{
		standin.PlainService: {"", ""}, standin.ModelService: {standin.StagePrefill, standin.StageDecode, standin.StageDecode},
	})
}

// newFleet starts engines, given as the stages of the engines of each service, and instances.
func newFleet(t *testing.T, size int, services map[string][]string) *partitionFleet {
	t.Helper()
	f := &partitionFleet{store: standin.NewStore(), runs: make(map[string]int)}
	f.store.Publish(1, []standin.Organisation{{Name: "o", Keys: []string{"k"}}})
	f.engines = standin.NewEngines(f.store, func(r standin.Run) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runs[r.ID]++
		f.allRuns = append(f.allRuns, r)
	})
	f.engines.Sever = f.sever
	f.engines.OnCrash = func(string, string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.crashes = append(f.crashes, time.Now())
	}
	f.engines.OnAnswer = func(a standin.Arrival) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.arrivals = append(f.arrivals, a)
	}
	for service, stages := range services {
		for _, stage := range stages {
			e, err := f.engines.Start(service, stage, func(address string) (string, error) { return address, nil })
			assert.NilError(t, err)
			t.Cleanup(e.Stop)
			f.running = append(f.running, e)
		}
	}
	for n := range size {
		f.addInstance(t, fmt.Sprintf("i%d", n))
	}
	for _, i := range f.instances {
		waitFor(t, func() bool {
			resp, err := http.Get("http://" + i.settings.Readiness + standin.PathReady)
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
	return f
}

// sever severs the links of all instances to the engine at an address until restore is called.
func (f *partitionFleet) sever(address string) (restore func()) {
	var each []func()
	for _, i := range f.instances {
		each = append(each, i.links.Sever(address))
	}
	return func() {
		for _, restore := range each {
			restore()
		}
	}
}

func (f *partitionFleet) addInstance(t *testing.T, name string) { f.startInstance(t, name, true) }

// startInstance starts an instance. firstStart is set if the fleet has not run before.
func (f *partitionFleet) startInstance(t *testing.T, name string, firstStart bool) {
	t.Helper()
	i := &linkedInstance{links: standin.NewLinkSet(), client: &http.Client{Transport: &http.Transport{}}}
	view := httptest.NewServer(standin.View{Store: f.store, EngineAddress: i.links.EngineAddress})
	t.Cleanup(view.Close)
	i.settings = settings.DefaultRouted()
	i.settings.Instance, i.settings.DataCentre, i.settings.FirstStart = name, "z", firstStart
	i.settings.Callers, i.settings.Readiness, i.settings.Reports = freePort(t), freePort(t), freePort(t)
	// The callers of these tests do not try again, and many instances share the processor.
	i.settings.MaxRefusedShare = 0
	i.settings.EjectFailing = f.ejectFailing
	i.settings.Store, i.settings.GraceS, i.settings.Fleet = view.Listener.Addr().String(), 2, t.Name()
	f.instances = append(f.instances, i)
	run, err := routed.New(i.settings, platform.NewDependencies(i.settings), zap.NewNop())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = run.Run(ctx) // The test notices an instance that does not serve.
	}()
	i.stop = func() {
		cancel()
		<-ended
	}
	t.Cleanup(func() {
		i.stop()
		i.links.Close()
	})
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	waitUpTo(t, 10*time.Second, condition)
}

// waitUpTo waits until a condition is met, and fails the test after a limit.
func waitUpTo(t *testing.T, limit time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("the condition was not met within %v", limit)
}

// send sends one request to an instance and returns the status and what is wrong with the answer.
func (i *linkedInstance) send(id string, kind standin.Kind) (status int, err error) {
	req, err := standin.Request(i.settings.Callers, id, "k", kind)
	if err != nil {
		return 0, err
	}
	resp, err := i.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	if string(body) != standin.Answer(id, kind.Streamed()) || resp.Header.Get("X-Response-Signature") != standin.Signature(id) {
		return resp.StatusCode, fmt.Errorf("wrong answer to %s: %q", id, body)
	}
	return resp.StatusCode, nil
}

var allKinds = []standin.Kind{standin.Read, standin.Book, standin.Draft}

// sendAll sends requests of all kinds to an instance and returns the failures.
func (i *linkedInstance) sendAll(prefix string, rounds int) (failures []error) {
	for n := range rounds {
		for _, kind := range allKinds {
			id := fmt.Sprintf("%s-%s-%s-%d", prefix, i.settings.Instance, kind, n)
			if _, err := i.send(id, kind); err != nil {
				failures = append(failures, fmt.Errorf("%s: %w", id, err))
			}
		}
	}
	return failures
}

// partitions are the ways in which an instance can lose its links to engines.
var partitions = map[string]func(*standin.Link) error{
	"silent": (*standin.Link).Partition, "reset": (*standin.Link).Sever, "new connections refused": (*standin.Link).RefuseConnections,
}

// partitionGrace is the time after the start of a partition from which callers must be served.
const partitionGrace = 3 * time.Second

// Guards against an instance that is partitioned from all engines, fails its callers and blames the
// engines, while other instances reach them.
func TestPartitionedInstanceServesItsCallers(t *testing.T) {
	for name, partition := range partitions {
		for _, cut := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s at %d of 3", name, cut), func(t *testing.T) {
				t.Parallel()
				f := newPartitionFleet(t, 3)
				for _, i := range f.instances {
					assert.Equal(t, len(i.sendAll("before", 2)), 0)
				}
				for _, i := range f.instances[:cut] {
					assert.NilError(t, i.links.Partition(partition))
				}
				var early sync.WaitGroup
				for _, i := range f.instances {
					// Callers whose requests fail at the start of the partition return later.
					early.Go(func() { i.sendAll("early", 2) })
				}
				time.Sleep(partitionGrace)
				early.Wait()
				for _, i := range f.instances {
					for _, failure := range i.sendAll("during", 5) {
						t.Error(failure)
					}
				}
				for _, i := range f.instances[:cut] {
					assert.NilError(t, i.links.Heal())
				}
				for _, i := range f.instances {
					for _, failure := range i.sendAll("after", 2) {
						t.Error(failure)
					}
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, runs := range f.runs {
					assert.Assert(t, runs == 1 || strings.Contains(id, standin.Read.String()), "%s ran %d times", id, runs)
				}
			})
		}
	}
}

// Guards against requests that circle among instances or wait for their deadlines while no instance reaches
// the engines, against refusals that do not say when to come back, and against a fleet that does not recover.
func TestServiceThatNobodyReachesIsRefused(t *testing.T) {
	t.Parallel()
	for name, partition := range partitions {
		if name == "new connections refused" {
			continue // Open connections serve.
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionFleet(t, 3)
			for _, i := range f.instances {
				assert.Equal(t, len(i.sendAll("before", 1)), 0)
			}
			for _, i := range f.instances {
				assert.NilError(t, i.links.Partition(partition))
			}
			var early sync.WaitGroup
			for _, i := range f.instances {
				early.Go(func() { i.sendAll("early", 2) })
			}
			early.Wait()
			time.Sleep(partitionGrace)
			for _, i := range f.instances {
				for n := range 4 {
					for _, kind := range allKinds {
						id := fmt.Sprintf("during-%s-%s-%d", i.settings.Instance, kind, n)
						status, err := i.send(id, kind)
						assert.Equal(t, status, http.StatusServiceUnavailable, "%s: %v", id, err)
					}
				}
			}
			f.mu.Lock()
			for id := range f.runs {
				assert.Assert(t, !strings.HasPrefix(id, "during"), "%s was refused and ran", id)
			}
			f.mu.Unlock()
			for _, i := range f.instances {
				assert.NilError(t, i.links.Heal())
			}
			for _, i := range f.instances {
				waitFor(t, func() bool { return len(i.sendAll("after", 1)) == 0 })
			}
		})
	}
}
