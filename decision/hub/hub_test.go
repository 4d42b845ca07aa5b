package hub

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// machines returns n candidates in five data centres.
func machines(n int, strong func(i int) bool) []Candidate {
	var out []Candidate
	for i := range n {
		c := Candidate{Name: fmt.Sprint("i", i), DataCentre: fmt.Sprint("dc", i%5), Millicores: 192, Settled: true}
		c.Hash = xxhash.Sum64String(c.Name)
		if strong(i) {
			c.Millicores = 800
		}
		out = append(out, c)
	}
	return out
}

// Guards against hubs that are all in one data centre or on machines too weak for the load.
func TestHubsAreStrongAndSpread(t *testing.T) {
	all := machines(295, func(i int) bool { return i < 15 })
	chosen := Choose(all, len(all), Hubs)
	assert.Equal(t, len(chosen), Hubs)
	centres := make(map[string]int)
	for _, name := range chosen {
		i := slices.IndexFunc(all, func(c Candidate) bool { return c.Name == name })
		assert.Assert(t, i < 15, "%s is weak", name)
		centres[all[i].DataCentre]++
	}
	assert.Equal(t, len(centres), 5)
	for dc, n := range centres {
		assert.Assert(t, n <= 2, "%d hubs in %s", n, dc)
	}
}

// Guards against a weak machine that is preferred to a strong one because it is in another data
// centre.
func TestStrongMachinesComeFirst(t *testing.T) {
	all := machines(100, func(i int) bool { return i%5 == 0 && i < 30 })
	for _, name := range Choose(all, len(all), 6) {
		i := slices.IndexFunc(all, func(c Candidate) bool { return c.Name == name })
		assert.Equal(t, all[i].Millicores, 800)
	}
}

// Guards against hubs that have just started, as during a rolling restart.
func TestNewInstancesComeLast(t *testing.T) {
	all := machines(30, func(int) bool { return true })
	for i := range 25 {
		all[i].Settled = false
	}
	chosen := Choose(all, len(all), Hubs)
	assert.Equal(t, len(chosen), Hubs)
	for i := 25; i < 30; i++ {
		assert.Assert(t, slices.Contains(chosen, all[i].Name))
	}
}

// Guards against the loss of one hub changing the home of most organisations.
func TestLossOfAHubMovesItsHomesOnly(t *testing.T) {
	var hubs []uint64
	for i := range 8 {
		hubs = append(hubs, xxhash.Sum64String(fmt.Sprint("hub", i)))
	}
	subjects := make([]int, len(hubs))
	for subject := range 800 {
		home := HomeOf(subject, hubs)
		subjects[home]++
		if home == 3 {
			continue
		}
		remaining := slices.Delete(slices.Clone(hubs), 3, 4)
		assert.Equal(t, remaining[HomeOf(subject, remaining)], hubs[home])
	}
	for _, n := range subjects {
		assert.Assert(t, n > 50 && n < 150, "%v", subjects)
	}
}
