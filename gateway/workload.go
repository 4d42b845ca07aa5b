package gateway

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleet"
)

// Limits of one prefill. An engine that takes longer is faulty or gone.
const (
	// minPrefillTimeout applies to engines without measurements and to fast ones: the longest
	// prompts take 200 ms alongside others.
	minPrefillTimeout = 900 * time.Millisecond
	maxPrefillTimeout = 5 * time.Second
	// prefillTimeoutFactor is the multiple of the time that processing a full queue takes.
	prefillTimeoutFactor = 1.5
)

// prefillTimeout returns the time limit of a prefill: the time to process this prompt after a full
// queue, multiplied by prefillTimeoutFactor.
func (d *dispatcher) prefillTimeout(tokens int) time.Duration {
	tokensPerSecond := d.workload().PrefillSpeed
	if tokensPerSecond <= 0 {
		return minPrefillTimeout
	}
	timeout := time.Duration(prefillTimeoutFactor * float64(maxPrefillQueueTokens+tokens) / tokensPerSecond * float64(time.Second))
	return min(max(timeout, minPrefillTimeout), maxPrefillTimeout)
}

// estimateOutput returns the number of output tokens to claim for a request.
func (d *dispatcher) estimateOutput(c *Call) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lengthEstimator.Estimate(c.LengthHint, c.MaxOutput, claimDeviations)
}

// recordCompletion updates the estimates after a completed request, with the tokens of its answer
// and the memory it claimed over its duration.
func (d *dispatcher) recordCompletion(c *Call, tokens, claimed int, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lengthEstimator.Observe(c.LengthHint, tokens)
	share := 1 / float64(max(d.poolSettings.Slots, 1))
	if d.poolSettings.MemoryTokens > 0 {
		share = max(share, float64(claimed)/float64(d.poolSettings.MemoryTokens))
	}
	d.splitAdvisor.ObserveRequest(c.PromptTokens, share, took)
}

// recordPrefill updates the estimates after a prefill. alone is set if no other prompts were queued
// at the engine.
func (d *dispatcher) recordPrefill(tokens int, took time.Duration, alone bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.splitAdvisor.ObservePrefill(tokens, took, alone)
}

// workload returns the measurements on which the split between prefill and decode engines is based.
func (d *dispatcher) workload() split.Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.splitAdvisor.Pooled()
}

// ownWork returns this instance's measurements of the service's requests.
func (d *dispatcher) ownWork() fleet.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fleet.Work{Split: d.splitAdvisor.Stats(), Lengths: d.lengthEstimator.OwnSums()}
}

// setPeerWork stores another instance's measurements. They remain in use after that instance stops
// reporting: they describe the same requests.
func (d *dispatcher) setPeerWork(instance string, w fleet.Work) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.Split.Samples > 0 {
		d.splitAdvisor.SetPeer(instance, w.Split)
		d.lengthEstimator.SetPeer(instance, w.Lengths)
	}
}

// workWithout returns the output lengths measured by all instances but one. The other measurements
// are omitted: only hubs decide the split, and they receive every instance's measurements directly.
func (d *dispatcher) workWithout(except string) fleet.Work {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fleet.Work{Lengths: d.lengthEstimator.SumsWithout(except)}
}

// setOtherLengths stores the output lengths measured by all other instances.
func (d *dispatcher) setOtherLengths(s length.Sums) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.N > 0 {
		d.lengthEstimator.SetOthers(s)
	}
}

// desiredPrefill returns how many of the service's engines should be prefill engines.
func (d *dispatcher) desiredPrefill(engines, current int) (int, bool) {
	running := d.decode.totalRequests()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.splitAdvisor.TooFewFinished(running) {
		return 0, false
	}
	return d.splitAdvisor.Recommend(engines, current)
}
