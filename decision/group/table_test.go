package group

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// printed skips a test that only prints figures unless it is asked for by name.
func printed(t *testing.T) {
	if run := flag.Lookup("test.run"); run == nil || !strings.Contains(run.Value.String(), t.Name()) {
		t.Skip("prints figures; run by name")
	}
}

const printedSeeds = 3

// mean is what a version of the decisions gives under a pattern over some seeds.
func (s site) mean(pattern string, cfg Config, useNaive bool) measures {
	var sum measures
	for seed := range uint64(printedSeeds) {
		sum.add(s.named(pattern, seed+1, cfg, useNaive), 1.0/printedSeeds)
	}
	return sum
}

func (m *measures) add(o measures, weight float64) {
	m.goodput += weight * o.goodput
	m.goodPart += weight * o.goodPart
	m.wasted += weight * o.wasted
	m.prefillEach += weight * o.prefillEach
	m.worst += weight * o.worst
	m.refused += weight * o.refused
	m.longServed += weight * o.longServed
	m.worstKey += weight * o.worstKey
	m.refusedFree += o.refusedFree
}

// TestLoadTable prints the table of docs/LOAD.md, naive / ours:
//
//	go test ./decision/group -run TestLoadTable -v
func TestLoadTable(t *testing.T) {
	printed(t)
	for _, s := range []site{pisar, giltScribe, dezurstva, leafDesk} {
		fmt.Printf("\n### %s (capacity %.1f requests a second)\n\n", s.name, s.capacity())
		fmt.Println("| pattern | goodput /s | within targets | wasted prefill | worst organisation | refused in rate | beside a free place | quiet keys |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, pat := range patterns {
			n, o := s.mean(pat.name, Config{}, true), s.mean(pat.name, Config{}, false)
			fmt.Printf("| %s | %.1f / %.1f | %.3f / %.3f | %.4f / %.4f | %.2f / %.2f | %.3f / %.3f | - / %d | %.2f / %.2f |\n", pat.name,
				n.goodput, o.goodput, n.goodPart, o.goodPart, n.wasted, o.wasted, n.worst, o.worst,
				n.refused, o.refused, o.refusedFree, n.worstKey, o.worstKey)
		}
	}
}
