// Package split decides how a service's engines are divided between prefill and
// decode.
//
// Load pattern: operators start a third of the engines as prefill engines. Reading a
// prompt takes a tenth of a second of an engine, generating its answer some seconds
// of a tenth to a sixth of another's memory, so that decode engines are full in every
// burst while prefill engines stand idle, or the other way round for long prompts
// with short answers.
//
// Without it: what one pool cannot take is refused beside idle engines of the other
// (TestSplitFollowsWork measures what is served).
//
// The work of a request at each pool is known from finished requests: the time that
// its prompt takes at the speed that prefill engines show when they are free, and the
// share of a decode engine's memory or slots times how long it was claimed. The best
// division depends on their ratio only and not on how much is asked, so that it is
// known after a few requests and does not follow each burst. What all instances have
// seen counts: where sixty share the requests, one alone has seen enough only after 20 s,
// until which ten idle prefill engines stood beside full decode engines
// (TestFleetKnowsSooner).
package split

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the figures of the package.
type Config struct {
	PrefillUse float64
	MinSamples float64
	Memory     float64
	// EarlyRuns is how many times as many requests as run at once must have finished.
	EarlyRuns float64
	// Margin is by how many engines the best division must be off before it is changed.
	Margin float64
}

// DefaultConfig returns the default figures.
func DefaultConfig() Config {
	return Config{PrefillUse: 0.85, MinSamples: 6, Memory: 100, EarlyRuns: 2, Margin: 0.3}
}

// Advisor learns the work of one service's requests. It is not safe for concurrent
// use.
type Advisor struct {
	cfg Config
	// n is the weight of the samples, prompt the mean prompt in tokens, decode the mean
	// work at decode engines in seconds of one whole engine.
	n, prompt, decode float64
	// speeds are those of the last prompts, alone of those that were alone at their engine.
	speeds, alone speeds
	// peers is what other instances have seen, by name.
	peers map[string]Stats
}

// New returns an advisor that has seen nothing.
func New(cfg Config) *Advisor { return &Advisor{cfg: cfg, peers: make(map[string]Stats)} }

// Figures of the speed at which engines read prompts.
const (
	// speedMemory is how many prompts it is taken from.
	speedMemory = 32
	// speedQuantile is the part of them that were read no faster. Most wait behind
	// others, so that the middle is too slow; the fastest may be one whose prompt was
	// kept already, or an answer that belongs to none, and a single one of these made
	// prefill engines look thirty times as fast as they are.
	speedQuantile = 0.75
)

// ObservePrefill takes in how long the prompt of a request took. alone tells that no other prompt
// was known to be at the engine, so that the time has no wait in it.
func (a *Advisor) ObservePrefill(tokens int, took time.Duration, alone bool) {
	if took <= 0 || tokens <= 0 {
		return
	}
	speed := float64(tokens) / took.Seconds()
	a.speeds.add(speed)
	if alone {
		a.alone.add(speed)
	}
}

// speed is at how many tokens a second an engine reads a prompt when it is free, 0 if
// none was read. Prompts that were alone tell it; while they are few, all do.
func (a *Advisor) speed() float64 {
	if float64(len(a.alone)) >= a.cfg.MinSamples {
		return a.alone.quantile()
	}
	return a.speeds.quantile()
}

// speeds are the last speeds at which prompts were read, oldest first.
type speeds []float64

func (s *speeds) add(speed float64) {
	if len(*s) == speedMemory {
		*s = (*s)[:copy(*s, (*s)[1:])]
	}
	*s = append(*s, speed)
}

func (s speeds) quantile() float64 {
	if len(s) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s))
	return sorted[int(speedQuantile*float64(len(sorted)-1))]
}

// ObserveRequest takes in a request: its prompt and the share of a decode engine that it
// claimed for some time.
func (a *Advisor) ObserveRequest(prompt int, share float64, took time.Duration) {
	a.n = min(a.n+1, a.cfg.Memory)
	a.prompt += (float64(prompt) - a.prompt) / a.n
	a.decode += (share*took.Seconds() - a.decode) / a.n
}

// Stats is what one instance, or all together, have seen.
type Stats struct {
	// Samples is the weight of finished requests, PromptCount the number of prompts read.
	Samples, PromptCount float64
	// MeanPrompt is the mean prompt in tokens, PrefillSpeed in tokens a second, MeanDecodeWork the mean
	// work of a request at decode engines in seconds of a whole engine.
	MeanPrompt, PrefillSpeed, MeanDecodeWork float64
}

// Stats returns what this instance has seen.
func (a *Advisor) Stats() Stats {
	return Stats{Samples: a.n, PromptCount: float64(len(a.speeds)), MeanPrompt: a.prompt, PrefillSpeed: a.speed(), MeanDecodeWork: a.decode}
}

// SetPeer replaces what another instance has seen. A view without samples forgets it.
func (a *Advisor) SetPeer(name string, v Stats) {
	if v.Samples <= 0 && v.PromptCount <= 0 {
		delete(a.peers, name)
		return
	}
	a.peers[name] = v
}

// Pooled returns what all have seen: means by their weights, and the speed that three
// quarters of the prompts lie below, counted by instances' own quantiles.
func (a *Advisor) Pooled() Stats {
	views := []Stats{a.Stats()}
	for _, v := range a.peers {
		views = append(views, v)
	}
	var all Stats
	for _, v := range views {
		all.Samples += v.Samples
		all.PromptCount += v.PromptCount
		all.MeanPrompt += v.Samples * v.MeanPrompt
		all.MeanDecodeWork += v.Samples * v.MeanDecodeWork
	}
	if all.Samples > 0 {
		all.MeanPrompt /= all.Samples
		all.MeanDecodeWork /= all.Samples
	}
	slices.SortFunc(views, func(x, y Stats) int { return cmp.Compare(x.PrefillSpeed, y.PrefillSpeed) })
	below := 0.0
	for _, v := range views {
		if below += v.PromptCount; v.PromptCount > 0 && below >= speedQuantile*all.PromptCount {
			all.PrefillSpeed = v.PrefillSpeed
			break
		}
	}
	return all
}

// leastPrefill is the fewest prefill engines, where there are more engines than that.
// With one, its loss leaves every prompt to decode engines until another has changed,
// and a few long prompts in a row make all others late.
const leastPrefill = 2

// TooFewFinished reports whether those that have finished tell too little of those that still run.
// After all instances of a fleet lost power, the first thirteen answers to end were a third as
// long as all: twelve of sixty engines were ordered to prefill by them, and back ten seconds
// later, each of them away for six seconds in a burst.
func (a *Advisor) TooFewFinished(running int) bool {
	return a.Pooled().Samples < min(a.cfg.EarlyRuns*float64(running), a.cfg.Memory)
}

// Recommend returns how many of a number of engines should prefill, between the least and
// one less than all, where have do now. ok is false while too little is known.
func (a *Advisor) Recommend(engines, have int) (prefill int, ok bool) {
	seen := a.Pooled()
	few := min(seen.Samples, seen.PromptCount) < a.cfg.MinSamples
	if few || seen.PrefillSpeed <= 0 || seen.MeanDecodeWork <= 0 || engines < 2 {
		return 0, false
	}
	l := load{engines: engines, reading: seen.MeanPrompt / seen.PrefillSpeed / a.cfg.PrefillUse, decode: seen.MeanDecodeWork}
	exact := l.reading / (l.reading + l.decode) * float64(engines)
	switch {
	case exact > float64(have)+a.cfg.Margin:
		prefill = l.worthwhile(have, int(math.Ceil(exact-a.cfg.Margin)))
	case exact < float64(have)-1-a.cfg.Margin:
		prefill = int(math.Ceil(exact + a.cfg.Margin))
	default:
		prefill = have
	}
	return min(max(prefill, leastPrefill), engines-1), true
}

// load is the work of one request at each pool, in seconds of a whole engine.
type load struct {
	engines         int
	reading, decode float64
}

// served is how many requests a second a division can take: what its fuller pool can.
func (l load) served(prefill int) float64 {
	return min(float64(prefill)/l.reading, float64(l.engines-prefill)/l.decode)
}

// worthwhile is how many engines up to a number should prefill. The work gives a fraction of
// an engine; rounded up, the last one may cost the decode engines more than it gives: of two
// of them the second is half of what can be answered.
func (l load) worthwhile(have, most int) int {
	if most-1 >= have && l.served(most) <= l.served(most-1) {
		return most - 1
	}
	return most
}
