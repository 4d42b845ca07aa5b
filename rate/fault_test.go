package rate

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/bucket"
	"github.com/cairnworks/cairnworks/rate/lease"
	"github.com/cairnworks/cairnworks/request"
	"github.com/cairnworks/cairnworks/verdict"
)

// The organisation used in the tests and its limit.
const (
	organisation = "jadran"
	testRate     = 300
	testBurst    = 3000
)

// meter records the admitted requests and checks the bound over every window.
type meter struct {
	pending sync.WaitGroup
	mu      sync.Mutex
	at      []time.Time
	cost    []float64
	refused map[verdict.Reason]int
}

// admit sends a request. It returns the verdict if the request was refused, otherwise nil.
func (mt *meter) admit(m *member, cost uint64) *verdict.Verdict {
	_, err := m.service.Admit(context.Background(), organisation, cost)
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var v *verdict.Verdict
	if errors.As(err, &v) {
		mt.refused[v.Reason]++
		return v
	}
	mt.at = append(mt.at, time.Now())
	mt.cost = append(mt.cost, float64(cost))
	return nil
}

// excess waits for all responses and returns by how many tokens the worst window exceeds
// rate*w + burst. A response may be up to maxCollectTime later than the charge of its tokens.
func (mt *meter) excess() float64 {
	mt.pending.Wait()
	worst, level := 0.0, 0.0
	for i, at := range mt.at {
		if i > 0 {
			level = max(0, level-testRate*at.Sub(mt.at[i-1]).Seconds())
		}
		level += mt.cost[i]
		worst = max(worst, level-testBurst-testRate*maxCollectTime.Seconds())
	}
	return worst
}

// load sends requests of cost to each of the instances in turn, or to the running ones if
// from is nil, for a duration d. It does not wait for the responses, since a paused instance
// responds only after it resumes.
func (mt *meter) load(f *fleet, from []*member, cost uint64, perSecond int, d time.Duration) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		turn := from
		if turn == nil {
			turn = f.running()
		}
		m := turn[i%len(turn)]
		mt.pending.Go(func() { mt.admit(m, cost) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// Every instance admits part of the burst without knowing what the others admitted. Together
// they must admit the burst and not a token more, and the retry delay in the refusal must be
// correct.
func TestBurstOverAllInstances(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		for i := range 30 {
			assert.Assert(t, mt.admit(f.running()[i%9], 100) == nil)
		}
		v := mt.admit(f.running()[0], 150)
		assert.Equal(t, v.Reason, verdict.ReasonRateLimited)
		time.Sleep(v.RetryAfter)
		assert.Assert(t, mt.admit(f.running()[1], 150) == nil)
	})
}

// The home of one share is killed while an organisation sends within its rate. Requests must
// be served from the other two shares, the third share must be available again once the lease
// has expired, and the bound must hold.
func TestHomeKilled(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		home, from := f.homeOf(0), f.nonHome()
		start := time.Now()
		f.kill(home)
		for f.homeOf(0) == nil {
			mt.admit(from, 20)
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("share without a home for %v", time.Since(start))
		assert.Assert(t, time.Since(start) < 7*time.Second)
		assert.Equal(t, len(mt.refused), 0)
		mt.load(f, nil, 100, 20, 30*time.Second)
	})
}

// A home is paused for a minute, its shards move to another home, and it resumes with an
// expired lease that it still considers valid. It must not grant tokens then.
func TestHomePausedAndResumed(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		home, from := f.homeOf(0), f.nonHome()
		home.gate.pause()
		mt.load(f, []*member{from}, 100, 10, 2*time.Second)
		f.unlist(home)
		mt.load(f, []*member{from}, 100, 10, time.Minute)
		home.gate.resume()
		f.list(home)
		mt.load(f, []*member{from, home}, 100, 10, time.Minute)
		f.waitForHomes()
	})
}

// The log is unavailable for an hour and no instance fails. Homes must continue with Extend
// acknowledgements of their fence sets, and an organisation within its rate must not be
// refused.
func TestLogDownForAnHour(t *testing.T) {
	t.Parallel()
	runFleet(t, 3, func(f *fleet, mt *meter) {
		f.log.setDown(true)
		calls := f.calls.Load()
		mt.load(f, nil, 100, 1, time.Hour)
		mt.pending.Wait()
		t.Logf("%.1f calls between peers a second and instance", float64(f.calls.Load()-calls)/3600/3)
		assert.Equal(t, len(mt.refused), 0)
	})
}

// A home is killed while the log is unavailable, so no instance may take over its shards. The
// organisation must keep the other two thirds of its rate, and get all of it once the log is
// back.
func TestLogDownAndHomeKilled(t *testing.T) {
	t.Parallel()
	runFleet(t, 5, func(f *fleet, mt *meter) {
		f.log.setDown(true)
		f.kill(f.homeOf(0))
		from := f.running()
		mt.load(f, from, 100, 6, 5*time.Minute)
		mt.pending.Wait()
		rate := float64(len(mt.at)) * 100 / (5 * 60)
		t.Logf("admitted %.0f of 300 tokens a second, refused %v", rate, mt.refused)
		assert.Assert(t, rate > 195)
		f.log.setDown(false)
		f.waitForHomes()
		mt.load(f, from, 100, 4, 30*time.Second)
	})
}

// A home is cut off from the log and from all peers but still serves callers. Callers that
// the load balancer sends to it must not spend from a share that another home holds by then.
func TestHomePartitioned(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		home, from := f.homeOf(0), f.nonHome()
		f.setCut(home, true, "log")
		for _, m := range f.running() {
			if m != home {
				f.setCut(home, true, m.holder.Address)
			}
		}
		mt.load(f, []*member{home, from}, 50, 20, 2*time.Second)
		f.unlist(home)
		mt.load(f, []*member{home, from}, 50, 20, time.Minute)
		for _, h := range home.service.Status().Held {
			assert.Equal(t, h.Phase, lease.PhaseLapsed)
		}
	})
}

// All nine instances are replaced one after the other while an organisation sends at nine
// tenths of its rate. No request may be refused. The number of log appends is logged.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		appends, bytes := f.log.totals()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, m := range f.running() {
				f.unlist(m)
				assert.Check(t, m.service.Drain(context.Background()))
				f.end(m)
				f.start(m.holder.Instance, m.holder.Incarnation+1)
				time.Sleep(20 * time.Second)
			}
		}()
		for replaced := false; !replaced; {
			mt.load(f, nil, 27, 10, time.Second)
			select {
			case <-done:
				replaced = true
			default:
			}
		}
		appendsAfter, bytesAfter := f.log.totals()
		t.Logf("%d appends, %d bytes, refused %v", appendsAfter-appends, bytesAfter-bytes, mt.refused)
		assert.Equal(t, len(mt.refused), 0)
	})
}

// The load balancer sends one instance ten times as many requests as each of the other eight.
// With a static ninth of the rate on each instance, most requests would be refused. No request
// within the rate may be refused.
func TestUnevenBalancer(t *testing.T) {
	t.Parallel()
	runFleet(t, 9, func(f *fleet, mt *meter) {
		members := f.running()
		from := append([]*member{}, members...)
		for range 9 {
			from = append(from, members[0])
		}
		calls := f.calls.Load()
		mt.load(f, from, 100, 2, 5*time.Minute)
		mt.pending.Wait()
		t.Logf("refused %v of %d, %.2f calls a request; a ninth of the rate each refuses %d",
			mt.refused, len(mt.at), float64(f.calls.Load()-calls)/float64(len(mt.at)), refusedByStaticSplit(from, 600))
		assert.Equal(t, len(mt.refused), 0)
	})
}

// refusedByStaticSplit returns the number of refusals on the same trace if each instance gets
// a static ninth of rate and burst.
func refusedByStaticSplit(from []*member, requests int) int {
	buckets := map[*member]*bucket.Bucket{}
	refused := 0
	for i := range requests {
		m := from[i%len(from)]
		if buckets[m] == nil {
			buckets[m] = bucket.New(bucket.Limit{MilliPerSecond: testRate * 1000 / 9, BurstMilli: testBurst * 1000 / 9}, testBurst*1000/9, 0)
		}
		if _, ok := buckets[m].Charge(time.Duration(i)*time.Second/2, 100_000); !ok {
			refused++
		}
	}
	return refused
}

// Requests are charged for their longest possible response and use a tenth of that. With
// refunds of the unused tokens, more than three times as many must be admitted as the 21 that
// would be without refunds.
func TestUnusedTokensAreRefunded(t *testing.T) {
	t.Parallel()
	runFleet(t, 3, func(f *fleet, mt *meter) {
		admitted := 0
		for i := range 600 {
			m := f.running()[i%3]
			charge, err := m.service.Admit(context.Background(), organisation, 1000)
			if err == nil {
				admitted++
				time.AfterFunc(2*time.Second, func() { m.service.Settle(charge, 100) })
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("admitted %d of 600", admitted)
		assert.Assert(t, admitted > 3*21)
		assert.Assert(t, admitted*100 <= 300*60+3000)
	})
}

// Instances are paused, cut off, killed and restarted and the log becomes unavailable, at
// random and two faults at a time, while the instances together receive more than the rate.
// In no window may more than rate and burst be admitted.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		runFleet(t, 5, func(f *fleet, mt *meter) {
			rng := rand.New(rand.NewPCG(seed, 5))
			for range 25 {
				heal := f.injectFault(rng, 4)
				healSecond := f.injectFault(rng, 2)
				mt.load(f, nil, 100, 10, time.Duration(1+rng.IntN(10))*time.Second)
				heal()
				healSecond()
				mt.load(f, nil, 100, 10, time.Duration(rng.IntN(4))*time.Second)
			}
			f.waitForHomes()
		})
	}
}

// injectFault injects a random fault of the first kinds and returns a function that ends it.
func (f *fleet) injectFault(rng *rand.Rand, kinds int) (heal func()) {
	members := f.running()
	m, peer := members[rng.IntN(len(members))], members[rng.IntN(len(members))].holder.Address
	back := func() {}
	if rng.IntN(2) == 0 {
		f.unlist(m)
		back = func() { f.list(m) }
	}
	switch rng.IntN(kinds) {
	case 0:
		f.log.setDown(true)
		return func() { f.log.setDown(false); back() }
	case 1:
		f.setCut(m, true, "log", peer)
		return func() { f.setCut(m, false, "log", peer); back() }
	case 2:
		m.gate.pause()
		return func() { m.gate.resume(); back() }
	default:
		f.kill(m)
		return func() { f.start(m.holder.Instance, m.holder.Incarnation+1) }
	}
}

// A home and its fence set end together and restart at new addresses or not at all. Nothing
// responds at the old addresses, so the old runs cannot be distinguished from paused ones. Their
// shards must stay without a home until an operator declares the runs stopped.
func TestOperatorDeclaresStopped(t *testing.T) {
	t.Parallel()
	runFleet(t, 4, func(f *fleet, mt *meter) {
		members := f.running()
		f.kill(members[:3]...)
		// One of four is a minority. It claims from the others only after they have
		// written no record for longer than a live instance would.
		time.Sleep(7 * time.Minute)
		waiting := 0
		f.eachHeld(func(_ *member, h lease.HeldStatus) {
			if h.Phase == lease.PhaseWaiting {
				waiting++
			}
		})
		assert.Assert(t, waiting > 0)
		stopped := []request.Holder{members[0].holder, members[1].holder, members[2].holder}
		assert.NilError(t, members[3].service.DeclareStopped(context.Background(), stopped...))
		f.waitForHomes()
	})
}

// All instances crash at once and restart at their old addresses. Callers must not have to
// wait for the maximum outage, since the new runs answer Fence for the old ones.
func TestWholeFleetRestarts(t *testing.T) {
	t.Parallel()
	runFleet(t, 5, func(f *fleet, mt *meter) {
		members := f.running()
		f.kill(members...)
		for _, m := range members {
			f.start(m.holder.Instance, m.holder.Incarnation+1)
		}
		start := time.Now()
		f.waitForHomes()
		t.Logf("all shards are back after %v", time.Since(start))
		assert.Assert(t, time.Since(start) < 20*time.Second)
	})
}

// The limit is so small that no single share can hold the cost of a request. All shares
// together must still serve it.
func TestSmallLimit(t *testing.T) {
	t.Parallel()
	runFleet(t, 3, func(f *fleet, mt *meter) {
		f.setLimit(1, 5)
		assert.Assert(t, mt.admit(f.running()[0], 5) == nil)
		assert.Equal(t, mt.admit(f.running()[1], 6).RetryAfter, time.Duration(0))
	})
}

// One instance is cut off from all others but still reaches the log, like an instance with a
// wrong peer secret. Each side considers the other dead. If both claimed each other's shards,
// the shards would keep moving until the partition ends, and callers on both sides would be
// refused within their rate.
func TestIsolatedInstanceDoesNotClaimFleetShards(t *testing.T) {
	runFleet(t, 4, func(f *fleet, mt *meter) {
		isolated := f.members["addr-entry-1"]
		others := []*member{f.members["addr-entry-2"], f.members["addr-entry-3"], f.members["addr-entry-4"]}
		f.isolate(isolated, others)
		time.Sleep(30 * time.Second) // the others take over its shards
		before, _ := f.log.totals()
		mt.load(f, others, 10, 10, 10*time.Minute)
		mt.pending.Wait()
		refused := mt.refused[verdict.ReasonRateHomeUnavailable] + mt.refused[verdict.ReasonRateLimited]
		after, _ := f.log.totals()
		t.Logf("%d refused of 6000, %d appends in 10 minutes", refused, after-before)
		assert.Assert(t, refused < 60)
		assert.Assert(t, after-before < 60)
	})
}

// Two instances use one log but do not know each other, for example because neither is
// configured with the other. They keep taking each other's shards, and callers of both are
// refused. The log message about a lost shard is the only evidence for on-call engineers, so
// it must contain the name and the address of the new holder.
func TestShardLostToUnknownInstanceIsLogged(t *testing.T) {
	runFleet(t, 2, func(f *fleet, _ *meter) {
		one, other := f.members["addr-entry-1"], f.members["addr-entry-2"]
		f.isolate(one, []*member{other})
		time.Sleep(30 * time.Second)
		entries := f.logged.FilterMessage("rate shard lost to an instance that is not a member; it uses the same log").All()
		assert.Assert(t, len(entries) > 0)
		for _, entry := range entries {
			fields := entry.ContextMap()
			assert.Assert(t, fields["instance"] != fields["successor"])
			assert.Equal(t, fields["address"], "addr-"+fields["successor"].(string))
		}
		assert.Equal(t, len(one.service.Holders()), 2)
	})
}
