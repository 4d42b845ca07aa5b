package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Task is one request of the mix. The schedule fixes its arrival time, lengths, cancellation and
// resend.
type Task struct {
	Index        int
	Arrival      time.Duration
	Kind         *Kind
	Organisation *Organisation
	// InstanceIndex is the index of the instance that the load balancer selects first.
	InstanceIndex int
	// PromptTokens and MaxTokens are the lengths of a model request.
	PromptTokens int
	MaxTokens    int
	// PrefixIndex is the index of the shared prefix, or -1 if there is none.
	PrefixIndex int
	// CancelAfter is when the first attempt is cancelled; 0 means never.
	CancelAfter time.Duration
	// ResendAfter is when a second copy of a call is sent; 0 means never.
	ResendAfter time.Duration
	seed        uint64
}

// Schedule returns the scenario's tasks in order of arrival. It is deterministic.
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
	slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.Arrival, b.Arrival) })
	for i, task := range tasks {
		task.Index = i
	}
	return tasks
}

// arrivals draws tasks from an inhomogeneous Poisson process whose rate follows the organisation's
// surges, by thinning a process at the peak rate.
func arrivals(s *Scenario, kind *Kind, organisation *Organisation) []*Task {
	// Each kind and organisation has its own generator, so that changing one kind does not move the
	// arrivals of the others and runs stay comparable.
	rng := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(kind.Name+"/"+organisation.Name)))
	peak := 1.0
	for _, surge := range organisation.Surges {
		peak = max(peak, surge.Factor)
	}
	rate := kind.RequestsPerSecond * organisation.RateFactor
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
		if rng.Float64() < organisation.rateFactorAt(when)/peak {
			tasks = append(tasks, newTask(s, kind, organisation, when, rng))
		}
	}
}

func (o *Organisation) rateFactorAt(at time.Duration) float64 {
	for _, surge := range o.Surges {
		if at >= surge.From.Duration && at < surge.To.Duration {
			return surge.Factor
		}
	}
	return 1
}

func newTask(s *Scenario, kind *Kind, organisation *Organisation, at time.Duration, rng *rand.Rand) *Task {
	task := &Task{
		Arrival: at, Kind: kind, Organisation: organisation, PrefixIndex: -1,
		InstanceIndex: rng.IntN(len(s.Instances)), seed: rng.Uint64(),
		PromptTokens: logUniform(rng, kind.PromptTokens),
		MaxTokens:    logUniform(rng, kind.MaxTokens),
	}
	if kind.SharedPrefixes > 0 {
		task.PrefixIndex = rng.IntN(kind.SharedPrefixes)
	}
	if rng.Float64() < kind.CancelShare {
		task.CancelAfter = 1 + time.Duration(rng.Int64N(int64(kind.CancelWithin.Duration)))
	}
	if rng.Float64() < kind.ResendShare {
		task.ResendAfter = 1 + time.Duration(rng.Int64N(int64(kind.ResendWithin.Duration)))
	}
	return task
}

// logUniform draws lengths uniformly on a logarithmic scale: many are short, some are tens of
// thousands.
func logUniform(rng *rand.Rand, bounds [2]int) int {
	if bounds[1] <= bounds[0] {
		return bounds[0]
	}
	low, high := math.Log(float64(bounds[0])), math.Log(float64(bounds[1]))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}
