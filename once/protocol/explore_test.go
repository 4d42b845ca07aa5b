package protocol

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// explore visits all reachable states and stops at the first one that violates an invariant.
func explore(s scenario) (visited int, err error) {
	queue := []modelState{{epoch: 1}}
	seen := map[modelState]bool{queue[0]: true}
	for len(queue) > 0 {
		m := queue[0]
		queue = queue[1:]
		if err := s.checkInvariants(&m); err != nil {
			return len(seen), err
		}
		for _, next := range s.successors(m) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

// Callers send the same booking to several instances at once and again later, one of them with a
// different body. Meanwhile appends take effect late or twice, instances lag, crash at any point
// and restart, and the window passes. No interleaving may run a booking twice; its customer
// would be charged twice.
func TestKeyRunsOnceInEveryInterleaving(t *testing.T) {
	for name, s := range map[string]scenario{
		"a crash and a lost upstream response": {nodes: 2, bodies: []byte{1, 1}, maxCrashes: 1, lostResponses: true},
		"duplicate appends":                    {nodes: 2, bodies: []byte{1, 1}, duplicateAppends: true},
		"different body":                       {nodes: 2, bodies: []byte{1, 2}, maxCrashes: 1, lostResponses: true},
		"the window passes":                    {nodes: 2, bodies: []byte{1, 1}, windowExpires: true, lostResponses: true},
		"three calls at one instance":          {nodes: 1, bodies: []byte{1, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(s)
			t.Logf("%d states", visited)
			assert.NilError(t, err)
		})
	}
}

// Random walks through the model with more instances and calls than can be explored exhaustively.
func TestKeyRunsOnceInRandomInterleavings(t *testing.T) {
	s := scenario{nodes: 4, bodies: []byte{1, 1, 1, 2, 1, 1}, maxCrashes: 3, duplicateAppends: true, windowExpires: true, lostResponses: true}
	rng := rand.New(rand.NewPCG(1, 2))
	steps := 0
	for range 1500 {
		m := modelState{epoch: 1}
		for range 80 {
			next := s.successors(m)
			if len(next) == 0 {
				break
			}
			m = next[rng.IntN(len(next))]
			steps++
			assert.NilError(t, s.checkInvariants(&m))
		}
	}
	t.Logf("%d steps", steps)
}

// Each safeguard is disabled in turn, and the model must report a violation. Otherwise the
// exhaustive tests above would prove nothing about that safeguard.
func TestModelDetectsEachMutation(t *testing.T) {
	for name, c := range map[string]struct {
		scenario scenario
		found    string
	}{
		"dispatch before the append is confirmed": {
			scenario{nodes: 2, bodies: []byte{1, 1}, mutation: dispatchUnconfirmed}, "ran 2 times"},
		"append with a new ID after a lost response": {
			scenario{nodes: 2, bodies: []byte{1, 1}, duplicateAppends: true, mutation: newIDAfterLostResponse}, "blocked"},
		"own intent always wins": {
			scenario{nodes: 2, bodies: []byte{1, 1}, mutation: ownIntentAlwaysWins}, "ran 2 times"},
		"ready before the stream was read to its end": {
			scenario{nodes: 2, bodies: []byte{1, 1}, maxCrashes: 1, mutation: readyBeforeCatchUp}, "ran 2 times"},
		"void after the call may have run": {
			scenario{nodes: 2, bodies: []byte{1, 1}, lostResponses: true, mutation: voidAfterMayHaveRun}, "ran 2 times"},
		"no void for a withdrawn intent": {
			scenario{nodes: 2, bodies: []byte{1, 1}, mutation: withdrawWithoutVoid}, "blocked"},
		"no void for a lost intent": {
			scenario{nodes: 2, bodies: []byte{1, 1}, mutation: lostIntentNotVoided}, "blocked"},
	} {
		t.Run(name, func(t *testing.T) {
			visited, err := explore(c.scenario)
			assert.ErrorContains(t, err, c.found)
			t.Logf("found after %d states: %v", visited, err)
		})
	}
}

// BenchmarkExploreLarge explores scenarios that take too long for a test run.
func BenchmarkExploreLarge(b *testing.B) {
	for name, s := range map[string]scenario{
		"two_instances_all_faults": {nodes: 2, bodies: []byte{1, 1}, maxCrashes: 1, duplicateAppends: true, lostResponses: true},
		"three_instances":          {nodes: 3, bodies: []byte{1, 1}, maxCrashes: 1, lostResponses: true},
		"three_calls":              {nodes: 2, bodies: []byte{1, 1, 2}},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				visited, err := explore(s)
				assert.NilError(b, err)
				b.ReportMetric(float64(visited), "states")
			}
		})
	}
}
