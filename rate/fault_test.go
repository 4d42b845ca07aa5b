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

// The organisation of the tests and its limit.
const (
	organisation = "jadran"
	testRate     = 300
	testBurst    = 3000
)

// meter records what was admitted and checks every window.
type meter struct {
	pending sync.WaitGroup
	mu      sync.Mutex
	at      []time.Time
	cost    []float64
	refused map[verdict.Reason]int
}

// admit returns the verdict of a refused request, or nil.
func (k *meter) admit(m *member, cost uint64) *verdict.Verdict {
	_, err := m.service.Admit(context.Background(), organisation, cost)
	k.mu.Lock()
	defer k.mu.Unlock()
	var v *verdict.Verdict
	if errors.As(err, &v) {
		k.refused[v.Reason]++
		return v
	}
	k.at = append(k.at, time.Now())
	k.cost = append(k.cost, float64(cost))
	return nil
}

// excess returns by how many tokens the worst window passes rate*w + burst, when all
// answers are in. An answer may be up to maxGather later than its tokens were counted.
func (k *meter) excess() float64 {
	k.pending.Wait()
	worst, level := 0.0, 0.0
	for i, at := range k.at {
		if i > 0 {
			level = max(0, level-testRate*at.Sub(k.at[i-1]).Seconds())
		}
		level += k.cost[i]
		worst = max(worst, level-testBurst-testRate*maxGather.Seconds())
	}
	return worst
}

// load sends requests of cost from each instance in turn, or from all that live at the
// moment, for a time. It does not wait for their answers: a paused instance gives them
// only when it goes on.
func (k *meter) load(f *fleet, from []*member, cost uint64, perSecond int, d time.Duration) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		turn := from
		if turn == nil {
			turn = f.living()
		}
		m := turn[i%len(turn)]
		k.pending.Go(func() { k.admit(m, cost) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
}

// Every instance admits a part of the burst; none of them alone knows what the others
// admitted. Together they must admit the burst and not a token more, and the time named
// in the refusal must be right.
func TestBurstOverAllInstances(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		for i := range 30 {
			assert.Assert(t, k.admit(f.living()[i%9], 100) == nil)
		}
		v := k.admit(f.living()[0], 150)
		assert.Equal(t, v.Reason, verdict.ReasonRateLimited)
		time.Sleep(v.RetryAfter)
		assert.Assert(t, k.admit(f.living()[1], 150) == nil)
	})
}

// The home of one share dies while an organisation sends within its rate. Requests go
// on from the other two shares, and the third is back after the lease has been waited
// out; nothing above the bound is admitted.
func TestHomeKilled(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		home, from := f.homeOf(0), f.other()
		begun := time.Now()
		f.kill(home)
		for f.homeOf(0) == nil {
			k.admit(from, 20)
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("share without a home for %v", time.Since(begun))
		assert.Assert(t, time.Since(begun) < 7*time.Second)
		assert.Equal(t, len(k.refused), 0)
		k.load(f, nil, 100, 20, 30*time.Second)
	})
}

// A home is paused for a minute, its shards get another home, and it comes back still
// believing in its lease. Requests that reach it then must not find tokens in it.
func TestHomePausedAndBack(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		home, from := f.homeOf(0), f.other()
		home.gate.pause()
		k.load(f, []*member{from}, 100, 10, 2*time.Second)
		f.unlist(home)
		k.load(f, []*member{from}, 100, 10, time.Minute)
		home.gate.resume()
		f.list(home)
		k.load(f, []*member{from, home}, 100, 10, time.Minute)
		f.settle()
	})
}

// The log is down for an hour and nobody dies. Homes go on with their fence sets' word;
// an organisation within its rate notices nothing.
func TestLogDownForAnHour(t *testing.T) {
	t.Parallel()
	inFleet(t, 3, func(f *fleet, k *meter) {
		f.log.setDown(true)
		calls := f.calls.Load()
		k.load(f, nil, 100, 1, time.Hour)
		k.pending.Wait()
		t.Logf("%.1f calls between peers a second and instance", float64(f.calls.Load()-calls)/3600/3)
		assert.Equal(t, len(k.refused), 0)
	})
}

// The log is down and a home dies meanwhile. Nobody may take over its
// shards; the organisation keeps the other two thirds, and gets all back with the log.
func TestLogDownAndHomeKilled(t *testing.T) {
	t.Parallel()
	inFleet(t, 5, func(f *fleet, k *meter) {
		f.log.setDown(true)
		f.kill(f.homeOf(0))
		from := f.living()
		k.load(f, from, 100, 6, 5*time.Minute)
		k.pending.Wait()
		rate := float64(len(k.at)) * 100 / (5 * 60)
		t.Logf("admitted %.0f of 300 tokens a second, refused %v", rate, k.refused)
		assert.Assert(t, rate > 195)
		f.log.setDown(false)
		f.settle()
		k.load(f, from, 100, 4, 30*time.Second)
	})
}

// A home is cut off from the log and from all peers but still reaches itself. Callers
// that the balancer sends to it must not spend a share that another home holds by then.
func TestHomePartitioned(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		home, from := f.homeOf(0), f.other()
		f.setCut(home, true, "log")
		for _, m := range f.living() {
			if m != home {
				f.setCut(home, true, m.holder.Address)
			}
		}
		k.load(f, []*member{home, from}, 50, 20, 2*time.Second)
		f.unlist(home)
		k.load(f, []*member{home, from}, 50, 20, time.Minute)
		for _, h := range home.service.Status().Held {
			assert.Equal(t, h.Phase, lease.PhaseLapsed)
		}
	})
}

// All nine instances are replaced one after the other while an organisation sends at
// nine tenths of its rate. No request may be refused, and the log must bear it.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		appends, bytes := f.log.load()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, m := range f.living() {
				f.unlist(m)
				assert.Check(t, m.service.Drain(context.Background()))
				f.end(m)
				f.start(m.holder.Instance, m.holder.Incarnation+1)
				time.Sleep(20 * time.Second)
			}
		}()
		for replaced := false; !replaced; {
			k.load(f, nil, 27, 10, time.Second)
			select {
			case <-done:
				replaced = true
			default:
			}
		}
		appendsAfter, bytesAfter := f.log.load()
		t.Logf("%d appends, %d bytes, refused %v", appendsAfter-appends, bytesAfter-bytes, k.refused)
		assert.Equal(t, len(k.refused), 0)
	})
}

// The balancer sends ten requests to one instance for each that it sends to the other
// eight. With a ninth of the rate on each instance most would be refused; nobody within
// the rate may be.
func TestUnevenBalancer(t *testing.T) {
	t.Parallel()
	inFleet(t, 9, func(f *fleet, k *meter) {
		live := f.living()
		from := append([]*member{}, live...)
		for range 9 {
			from = append(from, live[0])
		}
		calls := f.calls.Load()
		k.load(f, from, 100, 2, 5*time.Minute)
		k.pending.Wait()
		t.Logf("refused %v of %d, %.2f calls a request; a ninth of the rate each refuses %d",
			k.refused, len(k.at), float64(f.calls.Load()-calls)/float64(len(k.at)), refusedByNinths(from, 600))
		assert.Equal(t, len(k.refused), 0)
	})
}

// refusedByNinths is the naive way on the same trace: a ninth of rate and burst each.
func refusedByNinths(from []*member, requests int) int {
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

// Requests are charged their longest answer and use a tenth of it. With what they did
// not use given back, several times the 21 go through that would without.
func TestUnusedTokensComeBack(t *testing.T) {
	t.Parallel()
	inFleet(t, 3, func(f *fleet, k *meter) {
		admitted := 0
		for i := range 600 {
			m := f.living()[i%3]
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

// Instances are paused, cut off, killed and restarted and the log goes down, at random
// and two at once, while all instances are sent more than the rate. In no window may
// more than the rate and burst be admitted.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		inFleet(t, 5, func(f *fleet, k *meter) {
			rng := rand.New(rand.NewPCG(seed, 5))
			for range 25 {
				heal := f.breakSomething(rng, 4)
				healSecond := f.breakSomething(rng, 2)
				k.load(f, nil, 100, 10, time.Duration(1+rng.IntN(10))*time.Second)
				heal()
				healSecond()
				k.load(f, nil, 100, 10, time.Duration(rng.IntN(4))*time.Second)
			}
			f.settle()
		})
	}
}

// breakSomething brings about one of the first kinds of fault and returns how it ends.
func (f *fleet) breakSomething(rng *rand.Rand, kinds int) (heal func()) {
	live := f.living()
	m, peer := live[rng.IntN(len(live))], live[rng.IntN(len(live))].holder.Address
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

// A home and its fence set end together and come back at new addresses, so that nobody
// can tell them from paused ones. Their shards stay without a home until an operator
// vouches that they have ended.
func TestOperatorVouches(t *testing.T) {
	t.Parallel()
	inFleet(t, 4, func(f *fleet, k *meter) {
		live := f.living()
		f.kill(live[:3]...)
		// One of four is a minority: it claims from the others only when they have
		// been silent in the log for longer than live ones are.
		time.Sleep(7 * time.Minute)
		waiting := 0
		f.eachHeld(func(_ *member, h lease.HeldStatus) {
			if h.Phase == lease.PhaseWaiting {
				waiting++
			}
		})
		assert.Assert(t, waiting > 0)
		gone := []request.Holder{live[0].holder, live[1].holder, live[2].holder}
		assert.NilError(t, live[3].service.VouchStopped(context.Background(), gone...))
		f.settle()
	})
}

// All instances crash at once and come back at their addresses. Callers must not wait
// for the longest outage to pass: the new runs answer in the old ones' places.
func TestWholeFleetRestarts(t *testing.T) {
	t.Parallel()
	inFleet(t, 5, func(f *fleet, k *meter) {
		live := f.living()
		f.kill(live...)
		for _, m := range live {
			f.start(m.holder.Instance, m.holder.Incarnation+1)
		}
		begun := time.Now()
		f.settle()
		t.Logf("all shards are back after %v", time.Since(begun))
		assert.Assert(t, time.Since(begun) < 20*time.Second)
	})
}

// A limit is so small that no share can hold a request alone. All shares together must
// still serve it.
func TestSmallLimit(t *testing.T) {
	t.Parallel()
	inFleet(t, 3, func(f *fleet, k *meter) {
		f.setLimit(1, 5)
		assert.Assert(t, k.admit(f.living()[0], 5) == nil)
		assert.Equal(t, k.admit(f.living()[1], 6).RetryAfter, time.Duration(0))
	})
}

// One instance is cut off from all others and still reaches the log; an instance with
// a wrong peers' secret looks the same. Each side takes the other for dead. If both
// claimed what the other holds, the shards would change hands for as long as the cut
// lasts and callers would be refused on both sides, within their rate.
func TestAnInstanceApartDoesNotTakeTheFleetsShards(t *testing.T) {
	inFleet(t, 4, func(f *fleet, k *meter) {
		apart := f.members["addr-entry-1"]
		others := []*member{f.members["addr-entry-2"], f.members["addr-entry-3"], f.members["addr-entry-4"]}
		f.setApart(apart, others)
		time.Sleep(30 * time.Second) // the others take over what it held
		before, _ := f.log.load()
		k.load(f, others, 10, 10, 10*time.Minute)
		k.pending.Wait()
		refused := k.refused[verdict.ReasonRateHomeUnavailable] + k.refused[verdict.ReasonRateLimited]
		after, _ := f.log.load()
		t.Logf("%d refused of 6000, %d appends in 10 minutes", refused, after-before)
		assert.Assert(t, refused < 60)
		assert.Assert(t, after-before < 60)
	})
}

// Two instances use one log and do not hear one another, as when neither was told of the other.
// Each takes the other's shards, and callers of both are refused. The log is where they can find
// each other, and the line about a lost shard is all that on-call engineers have: it must name
// who has it and where.
func TestAShardLostToAnUnheardInstanceNamesIt(t *testing.T) {
	inFleet(t, 2, func(f *fleet, _ *meter) {
		one, other := f.members["addr-entry-1"], f.members["addr-entry-2"]
		f.setApart(one, []*member{other})
		time.Sleep(30 * time.Second)
		lines := f.lines.FilterMessage("rate shard lost to an instance that is not heard; it uses the same log").All()
		assert.Assert(t, len(lines) > 0)
		for _, line := range lines {
			fields := line.ContextMap()
			assert.Assert(t, fields["instance"] != fields["successor"])
			assert.Equal(t, fields["address"], "addr-"+fields["successor"].(string))
		}
		assert.Equal(t, len(one.service.Holders()), 2)
	})
}
