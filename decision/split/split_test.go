package split

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func learnt(prompt int, share float64, took time.Duration) *Advisor {
	a := New(DefaultConfig())
	for range 20 {
		a.ObservePrefill(prompt, time.Duration(float64(prompt)/50_000*float64(time.Second)), false)
		a.ObserveRequest(prompt, share, took)
	}
	return a
}

// A service's answers take most of its engines' work, then its prompts do. Engines
// that keep the stage they started with leave one pool idle while the other refuses
// requests.
func TestSplitFollowsWork(t *testing.T) {
	cases := []struct {
		name          string
		prompt        int
		share         float64
		took          time.Duration
		engines, have int
		want          int
	}{
		{"long answers", 5_000, 0.13, 3 * time.Second, 14, 5, 4},
		{"longer answers", 5_000, 0.2, 5 * time.Second, 14, 5, 2},
		{"long prompts", 20_000, 0.25, 500 * time.Millisecond, 14, 5, 11},
		{"right already", 5_000, 0.1, 3 * time.Second, 9, 3, 3},
	}
	for _, c := range cases {
		got, ok := learnt(c.prompt, c.share, c.took).Recommend(c.engines, c.have)
		assert.Assert(t, ok)
		assert.Equal(t, got, c.want, c.name)
	}
}

// served is the load that a division can take: the one of the fuller pool.
func served(prefill, engines int, prefillWork, decodeWork float64) float64 {
	return min(float64(prefill)/prefillWork, float64(engines-prefill)/decodeWork)
}

// What the division that is chosen can take is at least what the one at the start
// could, and mostly more.
func TestDivisionServesMore(t *testing.T) {
	for _, prompt := range []int{1_000, 5_000, 10_000} {
		for _, share := range []float64{0.05, 0.1, 0.2} {
			a := learnt(prompt, share, 3*time.Second)
			want, _ := a.Recommend(14, 5)
			prefillWork, decodeWork := float64(prompt)/50_000, share*3
			before, after := served(5, 14, prefillWork, decodeWork), served(want, 14, prefillWork, decodeWork)
			assert.Assert(t, after >= 0.95*before, "prompt %d, share %.2f: %.1f after %.1f requests/s with %d", prompt, share, after, before, want)
		}
	}
}

// Estimates from a few requests differ from second to second. Engines that follow
// each of them are away most of the time.
func TestSmallDifferencesChangeNothing(t *testing.T) {
	a := learnt(5_000, 0.1, 3*time.Second)
	want, _ := a.Recommend(9, 3)
	for _, have := range []int{want} {
		again, _ := a.Recommend(9, have)
		assert.Equal(t, again, have)
	}
}

// The prompt of one request was kept by its engine already and is read at once. Taken
// for the engines' speed it made one prefill engine look enough for all, and callers
// waited behind it for the rest of the day.
func TestOneFastPromptChangesNothing(t *testing.T) {
	for before := range 8 {
		a := New(DefaultConfig())
		for i := range 8 {
			took := 100 * time.Millisecond
			if i == before {
				took = 4 * time.Millisecond
			}
			a.ObservePrefill(5_000, took, false)
			a.ObserveRequest(5_000, 0.15, 3*time.Second)
		}
		got, ok := a.Recommend(14, 5)
		assert.Assert(t, ok)
		assert.Equal(t, got, 4)
	}
}

// Nothing is known, or there is one engine: no change can be called for.
func TestTooLittleIsKnown(t *testing.T) {
	_, ok := New(DefaultConfig()).Recommend(9, 3)
	assert.Assert(t, !ok)
	_, ok = learnt(5_000, 0.1, time.Second).Recommend(1, 1)
	assert.Assert(t, !ok)
}

// Seventy instances share forty requests a second. One that decides by its own requests
// knows enough only after many seconds, and decode engines refuse work meanwhile beside
// prefill engines that idle.
func TestFleetKnowsSooner(t *testing.T) {
	a := learntFrom(1)
	_, ok := a.Recommend(44, 15)
	assert.Assert(t, !ok, "one request is enough to decide by")
	for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
		a.SetPeer(name, learntFrom(1).Stats())
	}
	want, ok := a.Recommend(44, 15)
	assert.Assert(t, ok)
	alone, _ := learntFrom(20).Recommend(44, 15)
	assert.Equal(t, want, alone, "what all have seen leads elsewhere than what one has seen for long")
	for _, name := range []string{"b", "c", "d", "e", "f", "g"} {
		a.SetPeer(name, Stats{})
	}
	_, ok = a.Recommend(44, 15)
	assert.Assert(t, !ok, "instances that are gone still count")
}

// One instance of seven has seen a prompt that was kept already. The others' speeds hold.
func TestOneInstanceWithAFastPromptChangesNothing(t *testing.T) {
	a := learntFrom(4)
	for _, name := range []string{"b", "c", "d", "e", "f"} {
		a.SetPeer(name, learntFrom(4).Stats())
	}
	before, _ := a.Recommend(44, 15)
	fast := learntFrom(4).Stats()
	fast.PrefillSpeed *= 30
	a.SetPeer("g", fast)
	after, _ := a.Recommend(44, 15)
	assert.Equal(t, after, before)
}

// learntFrom returns an advisor that has seen some requests.
func learntFrom(requests int) *Advisor {
	a := New(DefaultConfig())
	for range requests {
		a.ObservePrefill(5_000, 100*time.Millisecond, false)
		a.ObserveRequest(5_000, 0.13, 3*time.Second)
	}
	return a
}

// Sixty engines' instances all start again in a burst. Three hundred answers run at once,
// between one and six seconds long, and after a second and a half the shortest of them have
// ended. Taken for all, answers look a third as long as they are: a fifth of the engines is
// ordered to prefill and ordered back ten seconds later, and callers are refused while they
// change.
func TestFirstToFinishAreShort(t *testing.T) {
	const running, engines, have = 300, 60, 20
	took := func(i int) time.Duration { return time.Second + 5*time.Second*time.Duration(i)/running }
	a := New(DefaultConfig())
	finish := func(until time.Duration) {
		for i := range running {
			if took(i) <= until {
				a.ObservePrefill(3_000, 120*time.Millisecond, false)
				a.ObserveRequest(3_000, 0.13, took(i))
			}
		}
	}
	finish(1500 * time.Millisecond)
	assert.Assert(t, a.TooFewFinished(running))
	early, _ := a.Recommend(engines, have)
	for range 3 {
		finish(6 * time.Second)
	}
	assert.Assert(t, !a.TooFewFinished(running))
	want, ok := a.Recommend(engines, have)
	assert.Assert(t, ok && early > want, "%d engines by the first, %d by all", early, want)
	assert.Assert(t, !learnt(3_000, 0.13, 3*time.Second).TooFewFinished(5), "few run, and twenty have finished")
}

// Two prefill engines of five turn into four, and one decode engine holds fewer answers than
// callers ask for: the share of the work was rounded up.
func TestRoundingLeavesEnoughDecodeEngines(t *testing.T) {
	a := New(DefaultConfig())
	for range 20 {
		a.ObservePrefill(800, 31*time.Millisecond, false)
		a.ObserveRequest(800, 1.0/16, 205*time.Millisecond)
	}
	for have := 2; have <= 3; have++ {
		want, ok := a.Recommend(5, have)
		assert.Assert(t, ok)
		assert.Equal(t, want, 3, "with %d prefill engines", have)
	}
}

// Prompts wait behind others at busy engines. Taken for slow reading, the wait turns decode
// engines into prefill engines that are not needed, and callers are refused for lack of room.
func TestWaitsAreNotSlowReading(t *testing.T) {
	a := New(DefaultConfig())
	for i := range 40 {
		alone := i%4 == 0
		took := 30 * time.Millisecond
		if !alone {
			took *= time.Duration(2 + i%3)
		}
		a.ObservePrefill(800, took, alone)
		a.ObserveRequest(800, 1.0/16, 280*time.Millisecond)
	}
	want, ok := a.Recommend(5, 3)
	assert.Assert(t, ok)
	assert.Equal(t, want, 3)
	assert.Assert(t, a.Stats().PrefillSpeed > 26_000, "%.0f tokens a second", a.Stats().PrefillSpeed)
}
