package hub

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

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

// Guards against hubs that all stand in one data centre, or on machines that fall behind.
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

// Guards against a strong machine that is passed over for a weak one of another data centre.
func TestStrongMachinesComeFirst(t *testing.T) {
	all := machines(100, func(i int) bool { return i%5 == 0 && i < 30 })
	for _, name := range Choose(all, len(all), 6) {
		i := slices.IndexFunc(all, func(c Candidate) bool { return c.Name == name })
		assert.Equal(t, all[i].Millicores, 800)
	}
}

// Guards against a hub that has just started and is in the middle of planned work.
func TestFreshInstancesComeLast(t *testing.T) {
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

// Guards against most organisations changing their home when one hub is lost.
func TestLossOfAHubMovesItsHomesOnly(t *testing.T) {
	var hubs []uint64
	for i := range 8 {
		hubs = append(hubs, xxhash.Sum64String(fmt.Sprint("hub", i)))
	}
	held := make([]int, len(hubs))
	for subject := range 800 {
		home := HomeOf(subject, hubs)
		held[home]++
		if home == 3 {
			continue
		}
		less := slices.Delete(slices.Clone(hubs), 3, 4)
		assert.Equal(t, less[HomeOf(subject, less)], hubs[home])
	}
	for _, n := range held {
		assert.Assert(t, n > 50 && n < 150, "%v", held)
	}
}
