package gateway

import (
	"time"

	"github.com/cairnworks/cairnworks/decision/length"
	"github.com/cairnworks/cairnworks/decision/split"
	"github.com/cairnworks/cairnworks/fleet"
)

// Bounds of one prefill. An engine that is silent for longer is ill or gone.
const (
	// leastPatience is for engines that have not been measured, and for fast ones: the longest
	// prompts take 200 ms beside others.
	leastPatience = 900 * time.Millisecond
	mostPatience  = 5 * time.Second
	// patienceShare is how many times what may wait at an engine must have been read.
	patienceShare = 1.5
)

// prefillPatience is how long a prompt may take: as long as it takes to read all that may wait
// before it, and half as long again.
func (k *desk) prefillPatience(tokens int) time.Duration {
	speed := k.workView().PrefillSpeed
	if speed <= 0 {
		return leastPatience
	}
	whole := time.Duration(patienceShare * float64(prefillDepth+tokens) / speed * float64(time.Second))
	return min(max(whole, leastPatience), mostPatience)
}

// estimate is the number of output tokens that are claimed for a request.
func (k *desk) estimate(c *Call) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lengths.Estimate(c.LengthHint, c.MaxOutput, claimDeviations)
}

// finished learns from a request that was answered whole: the tokens of its answer,
// and the memory that it claimed for how long.
func (k *desk) finished(c *Call, tokens, claimed int, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lengths.Observe(c.LengthHint, tokens)
	share := 1 / float64(max(k.pool.Slots, 1))
	if k.pool.MemoryTokens > 0 {
		share = max(share, float64(claimed)/float64(k.pool.MemoryTokens))
	}
	k.work.ObserveRequest(c.PromptTokens, share, took)
}

// prefilled learns from a prompt that was read, alone at its engine or behind others.
func (k *desk) prefilled(tokens int, took time.Duration, alone bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work.ObservePrefill(tokens, took, alone)
}

// workView is what a decision about the division of engines rests on.
func (k *desk) workView() split.Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.work.Pooled()
}

// ownWork is what this instance has seen of the service's requests.
func (k *desk) ownWork() fleet.Work {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fleet.Work{Split: k.work.Stats(), Lengths: k.lengths.OwnSums()}
}

// peerWork takes in what another instance has seen. What one that reports no more has
// seen goes on counting: it was true of the same requests.
func (k *desk) peerWork(instance string, w fleet.Work) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if w.Split.Samples > 0 {
		k.work.SetPeer(instance, w.Split)
		k.lengths.SetPeer(instance, w.Lengths)
	}
}

// allWork is what all instances but one have seen of the lengths of answers. How engines are
// divided is decided where all is known.
func (k *desk) allWork(but string) fleet.Work {
	k.mu.Lock()
	defer k.mu.Unlock()
	return fleet.Work{Lengths: k.lengths.SumsWithout(but)}
}

// othersLengths takes in what all others have seen of the lengths of answers.
func (k *desk) othersLengths(s length.Sums) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.N > 0 {
		k.lengths.SetOthers(s)
	}
}

// wantedPrefill is how many of the service's engines should prefill.
func (k *desk) wantedPrefill(engines, have int) (int, bool) {
	running := k.decode.running()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.work.TooFewFinished(running) {
		return 0, false
	}
	return k.work.Recommend(engines, have)
}
