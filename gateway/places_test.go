package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/decision/waiting"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/observe"
	"github.com/cairnworks/cairnworks/upstream"
)

// placeFleet is a large fleet whose first instance is the home of all places.
type placeFleet struct {
	gateways  []*Gateway
	upstreams []*fakes
	mu        sync.Mutex
	// silent homes do not answer; suspected are those that were found so.
	silent, suspected bool
	claims            uint64
}

// homesOf is the way of one instance to the home.
type homesOf struct {
	fleet *placeFleet
	index int
}

func (h homesOf) Home(string) (fleet.Hub, bool) { return fleet.Hub{Name: "i0"}, h.index == 0 }

func (h homesOf) Suspect(string) {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.suspected = true
}

func (h homesOf) Claim(ctx context.Context, _ string, c fleet.Claim) (fleet.Place, error) {
	f := h.fleet
	f.mu.Lock()
	f.claims++
	c.ID = f.claims
	silent := f.silent
	f.mu.Unlock()
	if silent {
		return fleet.Place{}, fleet.ErrUnanswered
	}
	places := make(chan fleet.Place, 100)
	claim := func() { f.gateways[0].Claimed(boottime.Now(), h.name(), c, func(p fleet.Place) { places <- p }) }
	claim()
	refresh := time.NewTicker(fleet.ClaimTTL / 3)
	defer refresh.Stop()
	for {
		select {
		case p := <-places:
			if p.State != fleet.PlaceWaiting {
				return p, nil
			}
		case <-refresh.C:
			claim()
		case <-ctx.Done():
			c.Over = true
			claim()
			return fleet.Place{}, ctx.Err()
		}
	}
}

func (h homesOf) TellLoads(_ string, loads map[fleet.Hash]fleet.Load) {
	h.fleet.gateways[0].TakeLoads(boottime.Now(), h.name(), loads)
}

func (h homesOf) name() string { return fmt.Sprint("i", h.index) }

// playPlaces plays on instances before some decode engines of one service, which know nothing of
// what others place but what their home tells them. Time is the bubble's.
func playPlaces(t *testing.T, instances, engines int, play func(t *testing.T, f *placeFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newPlaceFleet(t, instances, engines)
		play(t, f)
		for _, g := range f.gateways {
			g.Close()
			assert.NilError(t, g.Metrics.Close())
		}
		// The actor systems end behind their last messages.
		time.Sleep(time.Minute)
	})
}

func newPlaceFleet(t *testing.T, instances, engines int) *placeFleet {
	t.Helper()
	f := &placeFleet{}
	now := boottime.Now()
	for i := range instances {
		state := NewState(boottime.Now, time.Minute)
		state.UpstreamsRead()
		state.InstancesRead()
		assert.Assert(t, state.Apply(object.NewIndex(set(), 1)))
		state.Prove(boottime.Now())
		for e := range engines {
			state.Directory.Put(upstream.Entry{ID: fmt.Sprint("d", e), Service: "model", Role: upstream.Decode, Slots: 4})
			state.Directory.Put(upstream.Entry{ID: fmt.Sprint("p", e), Service: "model", Role: upstream.Prefill, Slots: 4})
		}
		f.upstreams = append(f.upstreams, &fakes{})
		g := New(Options{Upstreams: f.upstreams[i], State: state, Log: zap.NewNop(), Metrics: observe.NewMetrics(), Members: func() fleet.Size { return fleet.SizeOf(instances) }})
		g.Connect(homesOf{f, i})
		// No suspicion ends while a test runs.
		g.suspects.now = func() time.Duration { return now }
		f.gateways = append(f.gateways, g)
	}
	return f
}

func (f *placeFleet) desk(i int) *desk {
	k := f.gateways[i].desks.get(&object.Service{Name: "model", Pool: set().Services[1].Pool})
	k.sync()
	return k
}

// item is a request for a quarter of an engine's memory.
func item(patience time.Duration) *waiting.Item {
	now := time.Now()
	return &waiting.Item{Organisation: "o", Tokens: 250, Arrived: now, Objective: patience, Deadline: now.Add(time.Minute), RetrySeed: rand.Uint64()}
}

// burst places requests at random instances at once and returns how many each engine got.
func (f *placeFleet) burst(t *testing.T, requests int) map[string]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	placed := make(map[string]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range requests {
		k := f.desk(rng.IntN(len(f.gateways)))
		all.Go(func() {
			entry, v := k.place(t.Context(), want{item: item(time.Millisecond)})
			if v == nil {
				mu.Lock()
				placed[entry.ID]++
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return placed
}

// Guards against engines that instances which know nothing of one another's requests fill beyond
// their memory in a burst, while others idle.
func TestBurstOfALargeFleetFillsEnginesEvenly(t *testing.T) {
	playPlaces(t, 60, 10, func(t *testing.T, f *placeFleet) {
		placed := f.burst(t, 60)
		total := 0
		for id, n := range placed {
			assert.Assert(t, n <= 4, "%s got %d", id, n)
			total += n
		}
		assert.Equal(t, total, 40, "the engines are full, and no fuller")
	})
}

// Guards against requests that nobody places while the home is silent.
func TestSilentHomeOfPlacesIsPassedOver(t *testing.T) {
	playPlaces(t, 20, 2, func(t *testing.T, f *placeFleet) {
		f.silent = true
		entry, v := f.desk(7).place(t.Context(), want{item: item(time.Second)})
		assert.Assert(t, v == nil && entry.ID != "")
		assert.Assert(t, f.suspected)
		prefill, ok := f.desk(7).claimPrefill(t.Context(), 100, nil)
		assert.Assert(t, ok && prefill.Role == upstream.Prefill)
	})
}

// Guards against room that comes free at one instance and is known late at the home, while
// others' requests wait there.
func TestEndOfARequestIsToldToTheHome(t *testing.T) {
	playPlaces(t, 20, 1, func(t *testing.T, f *placeFleet) {
		k := f.desk(1)
		var first upstream.Entry
		for range 4 {
			entry, v := k.place(t.Context(), want{item: item(time.Second)})
			assert.Assert(t, v == nil)
			first = entry
		}
		done := make(chan string)
		go func() {
			entry, _ := f.desk(2).place(t.Context(), want{item: item(time.Minute)})
			done <- entry.ID
		}()
		k.leave(first, 250)
		assert.Equal(t, <-done, first.ID)
		assert.Equal(t, f.desk(0).decode.room.Load(first.ID).Requests, 4)
	})
}

// Guards against memory that stays claimed for callers who leave while they wait at the home, or
// whose instance is gone.
func TestClaimsOfThoseWhoLeftAreForgotten(t *testing.T) {
	playPlaces(t, 20, 1, func(t *testing.T, f *placeFleet) {
		home := f.gateways[0].desks
		var place fleet.Place
		claim := fleet.Claim{ID: 1 << 40, Service: fleet.HashOf("model"), Prefill: true, Tokens: 100}
		home.claimed(boottime.Now(), "i3", claim, func(p fleet.Place) { place = p })
		assert.Equal(t, place.State, fleet.PlaceGiven)
		assert.Equal(t, f.desk(0).prefill.requests("p0"), 1)
		claim.Over = true
		home.claimed(boottime.Now(), "i3", claim, nil)
		assert.Equal(t, f.desk(0).prefill.requests("p0"), 0)

		for range 4 {
			_, v := f.desk(0).place(t.Context(), want{item: item(time.Second)})
			assert.Assert(t, v == nil)
		}
		ctx, leave := context.WithCancel(t.Context())
		leave()
		_, v := f.desk(4).place(ctx, want{item: item(time.Minute)})
		assert.Assert(t, v != nil)
		gone := fleet.Claim{ID: 1 << 41, Service: fleet.HashOf("model"), Tokens: 250, Objective: time.Minute, Left: time.Minute}
		home.claimed(boottime.Now()-2*fleet.ClaimTTL, "i5", gone, func(fleet.Place) {})
		f.desk(0).leave(upstream.Entry{ID: "d0"}, 250)
		entry, v := f.desk(6).place(t.Context(), want{item: item(time.Second)})
		assert.Assert(t, v == nil && entry.ID == "d0", "the place goes to one who still waits")
		f.desk(6).leave(entry, 250)
		again := make(chan fleet.Place, 9)
		home.claimed(boottime.Now(), "i5", gone, func(p fleet.Place) { again <- p })
		assert.Equal(t, (<-again).State, fleet.PlaceGiven, "who comes back begins anew")
	})
}

// Guards against an engine that has refused to set memory aside and is given at once to the next.
func TestHomeIsToldOfFullEngines(t *testing.T) {
	playPlaces(t, 20, 2, func(t *testing.T, f *placeFleet) {
		first, v := f.desk(1).place(t.Context(), want{item: item(time.Second)})
		assert.Assert(t, v == nil)
		f.desk(1).leave(first, 250)
		second, v := f.desk(1).place(t.Context(), want{item: item(time.Second), full: map[string]bool{first.ID: true}})
		assert.Assert(t, v == nil)
		assert.Assert(t, second.ID != first.ID)
	})
}

// Guards against crashed engines that each instance finds for itself, one after the other.
func TestHomeChecksWhatOthersDoubt(t *testing.T) {
	playPlaces(t, 20, 2, func(t *testing.T, f *placeFleet) {
		home := f.gateways[0]
		first, v := f.desk(1).place(t.Context(), want{item: item(time.Second)})
		assert.Assert(t, v == nil)
		f.desk(1).leave(first, 250)
		f.upstreams[0].reach = unsent()
		f.gateways[1].suspects.fail(first)
		for range 3 {
			entry, v := f.desk(1).place(t.Context(), want{item: item(time.Second)})
			assert.Assert(t, v == nil && entry.ID != first.ID)
			entry, v = f.desk(2).place(t.Context(), want{item: item(time.Second)})
			assert.Assert(t, v == nil && entry.ID != first.ID, "another instance is not given it either")
			f.desk(2).leave(entry, 250)
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if home.suspects.among([]upstream.Entry{first})[first.ID] {
				return poll.Success()
			}
			return poll.Continue("not checked yet")
		}, poll.WithTimeout(30*time.Second))
	})
}

// Guards against an instance that is cut off from engines and takes them away from all.
func TestHomeBelievesItsOwnChecks(t *testing.T) {
	playPlaces(t, 20, 2, func(t *testing.T, f *placeFleet) {
		all := f.gateways[0].state.Directory.Service("model")
		for _, e := range all {
			f.gateways[1].suspects.fail(e)
		}
		ctx, leave := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer leave()
		_, v := f.desk(1).place(ctx, want{item: item(time.Minute)})
		assert.Assert(t, v != nil, "it can reach none")
		for range 8 {
			_, v := f.desk(2).place(t.Context(), want{item: item(time.Second)})
			assert.Assert(t, v == nil, "others have all of them")
		}
	})
}

// Guards against a new home that counts what all have placed twice, and gives nothing for a second.
func TestNewHubCountsNobodyTwice(t *testing.T) {
	playPlaces(t, 20, 1, func(t *testing.T, f *placeFleet) {
		home := f.desk(0)
		loads := func(requests int) map[fleet.Hash]fleet.Load {
			return map[fleet.Hash]fleet.Load{fleet.ShortHashOf("d0"): {Requests: requests, Tokens: 250 * requests}}
		}
		placed := func() int { return home.decode.room.Load("d0").Requests }
		home.decode.take(boottime.Now(), &fleet.Report{Instance: "hub", Answer: true, Whole: true, Loads: loads(3)})
		assert.Equal(t, placed(), 3)
		home.decode.take(boottime.Now(), &fleet.Report{Instance: "i1", Loads: loads(1)})
		assert.Equal(t, placed(), 3, "it was in the sum")
		home.decode.take(boottime.Now(), &fleet.Report{Instance: "i2", Loads: loads(2)})
		assert.Equal(t, placed(), 3)
		home.decode.take(boottime.Now(), &fleet.Report{Instance: "i2", Loads: loads(1)})
		assert.Equal(t, placed(), 2, "one of its requests has ended")
		_, v := home.place(t.Context(), want{item: item(time.Second)})
		assert.Assert(t, v == nil)
	})
}

// Guards against a prefill engine that refuses while it changes its role, unknown to the home, and is
// sent prompts by every instance until its entry shows it.
func TestPrefillEngineThatRefusesIsToldToTheHome(t *testing.T) {
	playPlaces(t, 20, 3, func(t *testing.T, f *placeFleet) {
		refusals := 0
		for i := range f.gateways {
			f.upstreams[i].prefill = func(to upstream.Entry) (string, error) {
				if to.ID == "p0" {
					refusals++
					return "", refused()
				}
				return "handle", nil
			}
		}
		for range 3 {
			for i := 1; i < len(f.gateways); i++ {
				call := &Call{PromptTokens: 100}
				run := &modelRun{gateway: f.gateways[i], desk: f.desk(i), admitted: &admitted{call: call, service: &object.Service{Name: "model"}}}
				_, _, v := run.prefill(t.Context())
				assert.Assert(t, v == nil)
			}
		}
		assert.Equal(t, refusals, 1)
	})
}
