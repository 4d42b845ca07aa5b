package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_764_700_000, 0)

// engines returns a sample with pools of the given sizes and loads.
func engines(prefill, decode int, prefillBusy, decodeBusy float64) []Upstream {
	var all []Upstream
	for i := range prefill + decode {
		u := Upstream{Name: fmt.Sprintf("engine-%02d", i), Role: Prefill, Utilisation: prefillBusy}
		if i >= prefill {
			u.Role, u.Utilisation = Decode, decodeBusy
		}
		all = append(all, u)
	}
	return all
}

// Decode stays full for minutes beside idle prefill engines: one is named after a
// minute. A burst of half a minute, a pool that could give none without filling up
// itself, or engines that may not change, bring no advice.
func TestAdvice(t *testing.T) {
	cases := []struct {
		name      string
		seconds   int
		upstreams func() []Upstream
		want      bool
	}{
		{"lasting", 120, func() []Upstream { return engines(5, 5, 0.4, 1) }, true},
		{"burst", 30, func() []Upstream { return engines(5, 5, 0.4, 1) }, false},
		{"both full", 600, func() []Upstream { return engines(5, 5, 0.8, 1) }, false},
		{"last prefill engine", 600, func() []Upstream { return engines(1, 5, 0.1, 1) }, false},
		{"fixed", 600, func() []Upstream {
			all := engines(5, 5, 0.4, 1)
			for i := range all {
				all[i].Ineligible = true
			}
			return all
		}, false},
	}
	for _, c := range cases {
		a := New(DefaultConfig())
		a.Observe(start, engines(5, 5, 0.4, 0.4))
		for second := 1; second <= c.seconds; second++ {
			a.Observe(start.Add(time.Duration(second)*time.Second), c.upstreams())
		}
		advice, ok := a.Advice()
		assert.Equal(t, ok, c.want, c.name)
		if ok {
			assert.Equal(t, advice.Upstream, "engine-00")
			assert.Equal(t, advice.To, Decode)
		}
	}
}

// An operator follows the advice while decode is still full: the load after the
// change is not known yet, and further engines moved on the old load would have to
// move back. The next advice waits for the stated time.
func TestCooldownAfterChange(t *testing.T) {
	a := New(DefaultConfig())
	var changed, next time.Time
	for second := range 1200 {
		now := start.Add(time.Duration(second) * time.Second)
		if changed.IsZero() {
			a.Observe(now, engines(5, 5, 0.4, 1))
		} else {
			a.Observe(now, engines(4, 6, 0.4, 1))
		}
		_, advised := a.Advice()
		if advised && changed.IsZero() {
			changed = now
		} else if advised && next.IsZero() && now.After(changed.Add(time.Second)) {
			next = now
		}
	}
	assert.Assert(t, next.Sub(changed) >= DefaultConfig().Cooldown+DefaultConfig().HoldTime)
}

// naiveAdvice works the smoothed loads, and since how many samples the same pool
// has been too small, out from all samples, a second apart and without a change.
func naiveAdvice(cfg Config, samples [][2]float64, sizes [2]int) (Role, bool) {
	smoothed := samples[0]
	lasting, wanting := 0, Prefill
	keep := math.Exp(-1 / cfg.SmoothingTime.Seconds())
	for i, s := range samples {
		for r := range smoothed {
			if i > 0 {
				smoothed[r] = keep*smoothed[r] + (1-keep)*s[r]
			}
		}
		role := Prefill
		if smoothed[Decode] > smoothed[Prefill] {
			role = Decode
		}
		if role != wanting {
			lasting, wanting = 0, role
		}
		limit := cfg.HighUtilisation
		if lasting > int(cfg.HoldTime.Seconds()) {
			limit -= 2 * cfg.MinGain
		}
		n, m := float64(sizes[role]), float64(sizes[role.other()])
		loaded := smoothed[role.other()] * m / (m - 1)
		after := max(smoothed[role]*n/(n+1), loaded)
		lasting++
		if smoothed[role] < limit || loaded > cfg.MaxDonorUtilisation || after > smoothed[role]-cfg.MinGain {
			lasting = 0
		}
	}
	return wanting, lasting > int(cfg.HoldTime.Seconds())
}

func TestAgainstNaive(t *testing.T) {
	advised := 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 0))
		a := New(DefaultConfig())
		sizes := [2]int{2 + rng.IntN(8), 2 + rng.IntN(8)}
		var samples [][2]float64
		level := [2]float64{0.5, 0.5}
		for second := range 400 {
			if second%80 == 0 {
				level = [2]float64{rng.Float64() * 0.8, 0.3 + rng.Float64()}
			}
			s := [2]float64{}
			for r := range s {
				s[r] = min(1, max(0, level[r]+0.1*rng.NormFloat64()))
			}
			samples = append(samples, s)
			a.Observe(start.Add(time.Duration(second)*time.Second), engines(sizes[0], sizes[1], s[0], s[1]))
			advice, got := a.Advice()
			role, want := naiveAdvice(DefaultConfig(), samples, sizes)
			assert.Equal(t, got, want)
			if got {
				advised++
				assert.Equal(t, advice.To, role)
			}
		}
	}
	assert.Assert(t, advised > 100)
}

// shift runs two hours of ten engines whose mix turns from prompts to answers after
// half an hour, with a burst of the other kind of half a minute every four
// minutes. A change of role takes an engine out for a minute. It returns the share
// of the work that was done and the number of changes.
func shift(advise func(now time.Time, all []Upstream) (string, bool)) (done float64, changes int) {
	const seconds = 7200
	rng := rand.New(rand.NewPCG(1, 1))
	all := engines(5, 5, 0, 0)
	backAt := make([]int, len(all))
	for second := range seconds {
		demand := [2]float64{4, 3}
		if second >= 1800 {
			demand = [2]float64{2, 6}
		}
		if second%240 < 30 {
			demand[0], demand[1] = demand[1], demand[0]
		}
		var working [2]float64
		for i, u := range all {
			if backAt[i] <= second {
				working[u.Role]++
			}
		}
		served := 1.0
		for r := range demand {
			demand[r] *= 0.9 + 0.2*rng.Float64()
			served = min(served, working[r]/demand[r])
		}
		done += served / seconds
		for i := range all {
			r := all[i].Role
			all[i].Utilisation = min(1, demand[r]/max(working[r], 0.1))
		}
		name, ok := advise(start.Add(time.Duration(second)*time.Second), all)
		i := slices.IndexFunc(all, func(u Upstream) bool { return u.Name == name })
		if ok && backAt[i] <= second {
			all[i].Role = all[i].Role.other()
			backAt[i] = second + 60
			changes++
		}
	}
	return done, changes
}

// The mix of a service turns from long prompts to long answers. Left alone, callers
// wait for decode beside idle prefill engines; with changes at each moment's
// bottleneck, engines spend their time changing.
func TestShiftOfMix(t *testing.T) {
	alone, _ := shift(func(time.Time, []Upstream) (string, bool) { return "", false })
	momentary, flaps := shift(func(_ time.Time, all []Upstream) (string, bool) {
		var load, size [2]float64
		for _, u := range all {
			size[u.Role]++
			load[u.Role] = u.Utilisation
		}
		for _, u := range all {
			if load[u.Role] < load[u.Role.other()] && load[u.Role.other()] > 0.85 && size[u.Role] > 1 {
				return u.Name, true
			}
		}
		return "", false
	})
	a := New(DefaultConfig())
	ours, changes := shift(func(now time.Time, all []Upstream) (string, bool) {
		a.Observe(now, all)
		advice, ok := a.Advice()
		return advice.Upstream, ok
	})
	t.Logf("share of work done: alone %.3f, momentary %.3f with %d changes, advised %.3f with %d changes",
		alone, momentary, flaps, ours, changes)
	assert.Assert(t, ours > alone && ours > momentary)
	assert.Assert(t, changes <= 4 && changes < flaps)
}

func BenchmarkObserve(b *testing.B) {
	a := New(DefaultConfig())
	all := engines(100, 100, 0.5, 0.9)
	for i := 0; b.Loop(); i++ {
		a.Observe(start.Add(time.Duration(i)*time.Second), all)
	}
}
