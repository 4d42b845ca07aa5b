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

// engines returns a sample with pools of the given sizes and utilisations.
func engines(prefill, decode int, prefillUtilisation, decodeUtilisation float64) []Upstream {
	var all []Upstream
	for i := range prefill + decode {
		u := Upstream{Name: fmt.Sprintf("engine-%02d", i), Role: Prefill, Utilisation: prefillUtilisation}
		if i >= prefill {
			u.Role, u.Utilisation = Decode, decodeUtilisation
		}
		all = append(all, u)
	}
	return all
}

// Guards against missing advice while the decode pool stays saturated for minutes and prefill
// engines are idle, and against advice during a burst of half a minute, from a pool that would
// be overloaded without the engine, or for engines that cannot change their role.
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

// Guards against further advice that is based on the load before a change. The decode pool is
// still saturated after an operator has moved an engine; engines moved on that load would have
// to be moved back. The next advice must wait for the cooldown and the hold time.
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

// naiveAdvice is a reference implementation without state. It computes the smoothed
// utilisations, and for how many samples the same pool has been the bottleneck, from all
// samples. Samples are a second apart and the pools do not change.
func naiveAdvice(cfg Config, samples [][2]float64, sizes [2]int) (Role, bool) {
	smoothed := samples[0]
	duration, bottleneck := 0, Prefill
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
		if role != bottleneck {
			duration, bottleneck = 0, role
		}
		threshold := cfg.HighUtilisation
		if duration > int(cfg.HoldTime.Seconds()) {
			threshold -= 2 * cfg.MinGain
		}
		n, m := float64(sizes[role]), float64(sizes[role.opposite()])
		donorAfter := smoothed[role.opposite()] * m / (m - 1)
		after := max(smoothed[role]*n/(n+1), donorAfter)
		duration++
		if smoothed[role] < threshold || donorAfter > cfg.MaxDonorUtilisation || after > smoothed[role]-cfg.MinGain {
			duration = 0
		}
	}
	return bottleneck, duration > int(cfg.HoldTime.Seconds())
}

// Compares the advisor with the reference implementation on random loads.
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

// simulateShift runs ten engines for two hours. The load shifts from prefill to decode after
// half an hour, and every four minutes the loads of the pools are swapped for half a minute.
// A role change makes an engine unavailable for a minute. It returns the share of the work
// that was done and the number of role changes.
func simulateShift(advise func(now time.Time, all []Upstream) (string, bool)) (done float64, changes int) {
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
			all[i].Role = all[i].Role.opposite()
			backAt[i] = second + 60
			changes++
		}
	}
	return done, changes
}

// Guards against advice that serves callers worse than no changes at all, or than following the
// momentary bottleneck, when the mix of a service shifts from long prompts to long outputs.
// Without changes, callers wait for decode while prefill engines are idle; with changes at each
// momentary bottleneck, engines spend their time changing roles.
func TestShiftOfMix(t *testing.T) {
	unchanged, _ := simulateShift(func(time.Time, []Upstream) (string, bool) { return "", false })
	momentary, momentaryChanges := simulateShift(func(_ time.Time, all []Upstream) (string, bool) {
		var utilisation, size [2]float64
		for _, u := range all {
			size[u.Role]++
			utilisation[u.Role] = u.Utilisation
		}
		for _, u := range all {
			if utilisation[u.Role] < utilisation[u.Role.opposite()] && utilisation[u.Role.opposite()] > 0.85 && size[u.Role] > 1 {
				return u.Name, true
			}
		}
		return "", false
	})
	a := New(DefaultConfig())
	advised, changes := simulateShift(func(now time.Time, all []Upstream) (string, bool) {
		a.Observe(now, all)
		advice, ok := a.Advice()
		return advice.Upstream, ok
	})
	t.Logf("share of work done: without changes %.3f, momentary bottleneck %.3f with %d changes, advisor %.3f with %d changes",
		unchanged, momentary, momentaryChanges, advised, changes)
	assert.Assert(t, advised > unchanged && advised > momentary)
	assert.Assert(t, changes <= 4 && changes < momentaryChanges)
}

func BenchmarkObserve(b *testing.B) {
	a := New(DefaultConfig())
	all := engines(100, 100, 0.5, 0.9)
	for i := 0; b.Loop(); i++ {
		a.Observe(start.Add(time.Duration(i)*time.Second), all)
	}
}
