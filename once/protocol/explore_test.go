package protocol

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// explore visits every world that can be reached, until one is wrong.
func explore(s setup) (visited int, err error) {
	queue := []world{{epoch: 1}}
	seen := map[world]bool{queue[0]: true}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		if err := s.check(&w); err != nil {
			return len(seen), err
		}
		for _, next := range s.successors(w) {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), nil
}

// Callers send the same booking to several instances at once and again later,
// one of them with another body, while appends land late or twice, instances lag,
// crash at every point and start again, and the window passes. Were any order of
// these to run a booking twice, a shop would be charged twice.
func TestEveryOrderRunsAKeyOnce(t *testing.T) {
	for name, s := range map[string]setup{
		"a crash and a lost upstream answer": {nodes: 2, bodies: []byte{1, 1}, crashes: 1, unknown: true},
		"appends that land twice":            {nodes: 2, bodies: []byte{1, 1}, twice: true},
		"another body":                       {nodes: 2, bodies: []byte{1, 2}, crashes: 1, unknown: true},
		"the window passes":                  {nodes: 2, bodies: []byte{1, 1}, expiry: true, unknown: true},
		"three calls on one instance":        {nodes: 1, bodies: []byte{1, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			visited, err := explore(s)
			t.Logf("%d states", visited)
			assert.NilError(t, err)
		})
	}
}

// The same with more instances and calls than can be visited in every order.
func TestRandomOrdersRunAKeyOnce(t *testing.T) {
	s := setup{nodes: 4, bodies: []byte{1, 1, 1, 2, 1, 1}, crashes: 3, twice: true, expiry: true, unknown: true}
	rng := rand.New(rand.NewPCG(1, 2))
	steps := 0
	for range 1500 {
		w := world{epoch: 1}
		for range 80 {
			next := s.successors(w)
			if len(next) == 0 {
				break
			}
			w = next[rng.IntN(len(next))]
			steps++
			assert.NilError(t, s.check(&w))
		}
	}
	t.Logf("%d steps", steps)
}

// Each safeguard is switched off in turn. A check that did not notice would prove
// nothing about the protocol either.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		setup setup
		found string
	}{
		"dispatch before the append is confirmed": {
			setup{nodes: 2, bodies: []byte{1, 1}, breakage: dispatchUnconfirmed}, "ran 2 times"},
		"append anew under another id after a lost answer": {
			setup{nodes: 2, bodies: []byte{1, 1}, twice: true, breakage: appendAnewAfterLostAnswer}, "blocked"},
		"first in own memory wins": {
			setup{nodes: 2, bodies: []byte{1, 1}, breakage: firstInOwnMemoryWins}, "ran 2 times"},
		"index not read to its end": {
			setup{nodes: 2, bodies: []byte{1, 1}, crashes: 1, breakage: indexNotReadToEnd}, "ran 2 times"},
		"abandon after the call may have run": {
			setup{nodes: 2, bodies: []byte{1, 1}, unknown: true, breakage: abandonAfterMayHaveRun}, "ran 2 times"},
		"no void for an intent that was given up": {
			setup{nodes: 2, bodies: []byte{1, 1}, breakage: withdrawWithoutVoid}, "blocked"},
		"no void for an intent that lost": {
			setup{nodes: 2, bodies: []byte{1, 1}, breakage: lostIntentNotVoided}, "blocked"},
	} {
		t.Run(name, func(t *testing.T) {
			visited, err := explore(c.setup)
			assert.ErrorContains(t, err, c.found)
			t.Logf("found after %d states: %v", visited, err)
		})
	}
}

// BenchmarkExploreLarge visits the sizes that take too long for a test run.
func BenchmarkExploreLarge(b *testing.B) {
	for name, s := range map[string]setup{
		"two_instances_all_faults": {nodes: 2, bodies: []byte{1, 1}, crashes: 1, twice: true, unknown: true},
		"three_instances":          {nodes: 3, bodies: []byte{1, 1}, crashes: 1, unknown: true},
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
