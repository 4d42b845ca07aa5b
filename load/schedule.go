package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Task is one request of the mix, with all that happens to it fixed beforehand.
type Task struct {
	Index        int
	At           time.Duration
	Kind         *Kind
	Organisation *Organisation
	// Instance is the index of the instance that the balancer picks first.
	Instance int
	// PromptTokens and MaxTokens of a model request.
	PromptTokens int
	MaxTokens    int
	// Prefix is the shared prefix's number, or -1.
	Prefix int
	// CancelAfter cancels the first attempt; 0 means never.
	CancelAfter time.Duration
	// ResendAfter sends a second copy of a call; 0 means never.
	ResendAfter time.Duration
	seed        uint64
}

// Schedule returns the scenario's tasks in order of time. The same scenario gives
// the same tasks.
func Schedule(s *Scenario) []*Task {
	var tasks []*Task
	for k := range s.Kinds {
		for o := range s.Organisations {
			kind, organisation := &s.Kinds[k], &s.Organisations[o]
			if len(kind.Organisations) > 0 && !slices.Contains(kind.Organisations, organisation.Name) {
				continue
			}
			tasks = append(tasks, arrivals(s, kind, organisation)...)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.At, b.At) })
	for i, task := range tasks {
		task.Index = i
	}
	return tasks
}

// arrivals is a Poisson process whose rate follows the organisation's surges, by
// thinning one that runs at the highest rate.
func arrivals(s *Scenario, kind *Kind, organisation *Organisation) []*Task {
	// A generator of its own for each kind and organisation keeps the others'
	// arrivals in place when one kind is changed, so that runs stay comparable.
	rng := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(kind.Name+"/"+organisation.Name)))
	peak := 1.0
	for _, surge := range organisation.Surges {
		peak = max(peak, surge.Factor)
	}
	rate := kind.PerSecond * organisation.Share
	if rate <= 0 {
		return nil
	}
	var tasks []*Task
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (rate * peak)
		when := time.Duration(at * float64(time.Second))
		if when >= s.Duration.Duration {
			return tasks
		}
		if rng.Float64() < organisation.factorAt(when)/peak {
			tasks = append(tasks, newTask(s, kind, organisation, when, rng))
		}
	}
}

func (o *Organisation) factorAt(at time.Duration) float64 {
	for _, surge := range o.Surges {
		if at >= surge.From.Duration && at < surge.To.Duration {
			return surge.Factor
		}
	}
	return 1
}

func newTask(s *Scenario, kind *Kind, organisation *Organisation, at time.Duration, rng *rand.Rand) *Task {
	task := &Task{
		At: at, Kind: kind, Organisation: organisation, Prefix: -1,
		Instance: rng.IntN(len(s.Instances)), seed: rng.Uint64(),
		PromptTokens: logUniform(rng, kind.PromptTokens),
		MaxTokens:    logUniform(rng, kind.MaxTokens),
	}
	if kind.SharedPrefixes > 0 {
		task.Prefix = rng.IntN(kind.SharedPrefixes)
	}
	if rng.Float64() < kind.CancelShare {
		task.CancelAfter = 1 + time.Duration(rng.Int64N(int64(kind.CancelWithin.Duration)))
	}
	if rng.Float64() < kind.ResendShare {
		task.ResendAfter = 1 + time.Duration(rng.Int64N(int64(kind.ResendWithin.Duration)))
	}
	return task
}

// logUniform spreads lengths evenly over their orders of magnitude: many short
// ones, some of tens of thousands.
func logUniform(rng *rand.Rand, bounds [2]int) int {
	if bounds[1] <= bounds[0] {
		return bounds[0]
	}
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}
