// Package split decides how the engines of a service are divided between prefill and
// decode.
//
// Load pattern: operators start a third of the engines as prefill engines. Prefilling a
// prompt occupies an engine for a tenth of a second. Decoding its answer occupies a tenth
// to a sixth of another engine's memory for some seconds, so that decode engines are full
// in every burst while prefill engines are idle, or the other way round for long prompts
// with short answers.
//
// Without it: requests that one pool cannot take are refused while engines of the other
// pool are idle (TestSplitFollowsWork measures what is served).
//
// The work of a request in each pool is estimated from finished requests: the time that
// its prompt takes at the speed of an otherwise idle prefill engine, and the share of a
// decode engine's memory or slots times how long it was claimed. The best division
// depends only on the ratio of the two and not on the request rate, so it is known after
// a few requests and does not follow each burst. The observations of all instances are
// pooled: where sixty instances share the requests, a single one has seen enough only
// after 20 s, and until then ten prefill engines were idle while decode engines were full
// (TestPeerStatsSpeedUpDecision).
package split

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Config holds the parameters of an Advisor.
type Config struct {
	// PrefillUtilisation is the utilisation that prefill engines are planned for.
	PrefillUtilisation float64
	// MinSamples is the number of observations required for an estimate.
	MinSamples float64
	// MaxSampleWeight bounds the weight of past requests in the running means.
	MaxSampleWeight float64
	// MinFinishedRatio is the required ratio of finished to running requests.
	MinFinishedRatio float64
	// Margin is the deviation from the best division, in engines, that is tolerated.
	Margin float64
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{PrefillUtilisation: 0.85, MinSamples: 6, MaxSampleWeight: 100, MinFinishedRatio: 2, Margin: 0.3}
}

// Advisor estimates the work of one service's requests. It is not safe for concurrent
// use.
type Advisor struct {
	cfg Config
	// samples is the weight of the samples, meanPrompt the mean prompt in tokens, and
	// meanDecodeWork the mean work on decode engines in seconds of a whole engine.
	samples, meanPrompt, meanDecodeWork float64
	// speeds are the prefill speeds of the last prompts, uncontended of those that were
	// the only prompt on their engine.
	speeds, uncontended speeds
	// peers holds the statistics of other instances by name.
	peers map[string]Stats
}

// New returns an advisor without observations.
func New(cfg Config) *Advisor { return &Advisor{cfg: cfg, peers: make(map[string]Stats)} }

const (
	// speedWindow is the number of prompts from which the prefill speed is estimated.
	speedWindow = 32
	// speedQuantile is the quantile of their speeds that is used. Most prompts wait behind
	// others, so that the median is too slow. The fastest may be one whose prompt was
	// already cached, or an answer that matches no prompt; a single one of these made
	// prefill engines look thirty times as fast as they are.
	speedQuantile = 0.75
)

// ObservePrefill records how long a prompt took. uncontended reports that no other prompt
// was known to be on the engine, so that the time includes no waiting.
func (a *Advisor) ObservePrefill(tokens int, took time.Duration, uncontended bool) {
	if took <= 0 || tokens <= 0 {
		return
	}
	speed := float64(tokens) / took.Seconds()
	a.speeds.add(speed)
	if uncontended {
		a.uncontended.add(speed)
	}
}

// speed returns the tokens per second at which an idle engine prefills a prompt, or 0
// without observations. It is estimated from uncontended prompts or, while there are too
// few of them, from all prompts.
func (a *Advisor) speed() float64 {
	if float64(len(a.uncontended)) >= a.cfg.MinSamples {
		return a.uncontended.quantile()
	}
	return a.speeds.quantile()
}

// speeds holds the prefill speeds of the last prompts, oldest first.
type speeds []float64

func (s *speeds) add(speed float64) {
	if len(*s) == speedWindow {
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

// ObserveRequest records a finished request: its prompt length, and the share of a decode
// engine that it claimed and for how long.
func (a *Advisor) ObserveRequest(prompt int, share float64, took time.Duration) {
	a.samples = min(a.samples+1, a.cfg.MaxSampleWeight)
	a.meanPrompt += (float64(prompt) - a.meanPrompt) / a.samples
	a.meanDecodeWork += (share*took.Seconds() - a.meanDecodeWork) / a.samples
}

// Stats summarises the observations of one instance or of all together.
type Stats struct {
	// Samples is the weight of the finished requests, PromptCount the number of prompts
	// with a prefill speed.
	Samples, PromptCount float64
	// MeanPrompt is the mean prompt in tokens, PrefillSpeed is in tokens per second, and
	// MeanDecodeWork is the mean work of a request on decode engines in seconds of a
	// whole engine.
	MeanPrompt, PrefillSpeed, MeanDecodeWork float64
}

// Stats returns the observations of this instance.
func (a *Advisor) Stats() Stats {
	return Stats{
		Samples: a.samples, PromptCount: float64(len(a.speeds)),
		MeanPrompt: a.meanPrompt, PrefillSpeed: a.speed(), MeanDecodeWork: a.meanDecodeWork,
	}
}

// SetPeer replaces the statistics of another instance. Empty statistics remove it.
func (a *Advisor) SetPeer(name string, stats Stats) {
	if stats.Samples <= 0 && stats.PromptCount <= 0 {
		delete(a.peers, name)
		return
	}
	a.peers[name] = stats
}

// Pooled returns the statistics of all instances together: weighted means, and a weighted
// quantile of the instances' prefill speeds, with the number of prompts as weight.
func (a *Advisor) Pooled() Stats {
	all := []Stats{a.Stats()}
	for _, stats := range a.peers {
		all = append(all, stats)
	}
	var pooled Stats
	for _, stats := range all {
		pooled.Samples += stats.Samples
		pooled.PromptCount += stats.PromptCount
		pooled.MeanPrompt += stats.Samples * stats.MeanPrompt
		pooled.MeanDecodeWork += stats.Samples * stats.MeanDecodeWork
	}
	if pooled.Samples > 0 {
		pooled.MeanPrompt /= pooled.Samples
		pooled.MeanDecodeWork /= pooled.Samples
	}
	slices.SortFunc(all, func(x, y Stats) int { return cmp.Compare(x.PrefillSpeed, y.PrefillSpeed) })
	prompts := 0.0
	for _, stats := range all {
		if prompts += stats.PromptCount; stats.PromptCount > 0 && prompts >= speedQuantile*pooled.PromptCount {
			pooled.PrefillSpeed = stats.PrefillSpeed
			break
		}
	}
	return pooled
}

// minPrefill is the least number of prefill engines where there are more engines than
// that. With a single one, its loss would leave every prompt to the decode engines until
// another engine has changed its role, and a few long prompts in a row would delay all
// others.
const minPrefill = 2

// TooFewFinished reports whether too few requests have finished to represent those still
// running, since short ones finish first. After all instances of a fleet lost power, the
// first thirteen answers to finish were a third as long as all on average: because of them
// twelve of sixty engines were ordered to prefill and ten seconds later back again, each
// unavailable for six seconds during a burst.
func (a *Advisor) TooFewFinished(running int) bool {
	return a.Pooled().Samples < min(a.cfg.MinFinishedRatio*float64(running), a.cfg.MaxSampleWeight)
}

// Recommend returns how many of the engines should prefill, between minPrefill and all but
// one, given the number that do now. ok is false while there are too few observations.
func (a *Advisor) Recommend(engines, current int) (prefill int, ok bool) {
	pooled := a.Pooled()
	tooFew := min(pooled.Samples, pooled.PromptCount) < a.cfg.MinSamples
	if tooFew || pooled.PrefillSpeed <= 0 || pooled.MeanDecodeWork <= 0 || engines < 2 {
		return 0, false
	}
	w := workload{
		engines: engines,
		prefill: pooled.MeanPrompt / pooled.PrefillSpeed / a.cfg.PrefillUtilisation,
		decode:  pooled.MeanDecodeWork,
	}
	exact := w.prefill / (w.prefill + w.decode) * float64(engines)
	switch {
	case exact > float64(current)+a.cfg.Margin:
		prefill = w.usefulPrefill(current, int(math.Ceil(exact-a.cfg.Margin)))
	case exact < float64(current)-1-a.cfg.Margin:
		prefill = int(math.Ceil(exact + a.cfg.Margin))
	default:
		prefill = current
	}
	return min(max(prefill, minPrefill), engines-1), true
}

// BothRoles returns the division of engines closest to the current one in which both roles have an
// engine. It needs no observations: without an engine that decodes no request finishes, and without
// one that prefills no prompt is observed, so that Recommend would never be able to restore the
// missing role. A lone engine decodes, since decode engines can prefill prompts themselves.
func BothRoles(engines, current int) (prefill int) {
	if engines == 0 {
		return current
	}
	return min(max(current, min(1, engines-1)), engines-1)
}

// workload is the work of one request in each pool, in seconds of a whole engine, and the
// number of engines that share it.
type workload struct {
	engines         int
	prefill, decode float64
}

// throughput returns the requests per second that a division can serve, which the more
// heavily loaded pool limits.
func (w workload) throughput(prefill int) float64 {
	return min(float64(prefill)/w.prefill, float64(w.engines-prefill)/w.decode)
}

// usefulPrefill returns most, or one prefill engine less if the last one does not raise
// the throughput. The exact division is fractional, and when it is rounded up, the last
// engine may cost the decode pool more than it gains: with two decode engines, the second
// is half of the capacity for answers.
func (w workload) usefulPrefill(current, most int) int {
	if most-1 >= current && w.throughput(most) <= w.throughput(most-1) {
		return most - 1
	}
	return most
}
