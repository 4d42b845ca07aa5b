package group

import (
	"flag"
	"fmt"
	"strings"
	"testing"
)

// skipUnlessNamed skips a test that only prints figures unless -run names it.
func skipUnlessNamed(t *testing.T) {
	if run := flag.Lookup("test.run"); run == nil || !strings.Contains(run.Value.String(), t.Name()) {
		t.Skip("only prints figures; select it by name with -run")
	}
}

const tableSeeds = 3

// meanOverSeeds returns the mean results of a pattern over tableSeeds seeds, except
// that refusedWithFreeSlot is the sum.
func (s site) meanOverSeeds(pattern string, cfg Config, useBaseline bool) measures {
	var sum measures
	for seed := range uint64(tableSeeds) {
		sum.add(s.runPattern(pattern, seed+1, cfg, useBaseline), 1.0/tableSeeds)
	}
	return sum
}

func (m *measures) add(o measures, weight float64) {
	m.goodput += weight * o.goodput
	m.withinTargets += weight * o.withinTargets
	m.wastedPrefill += weight * o.wastedPrefill
	m.prefillPerAnswer += weight * o.prefillPerAnswer
	m.worstOrganisation += weight * o.worstOrganisation
	m.refusedWithinRate += weight * o.refusedWithinRate
	m.longAnswered += weight * o.longAnswered
	m.worstQuietKey += weight * o.worstQuietKey
	m.refusedWithFreeSlot += o.refusedWithFreeSlot
}

// TestLoadTable prints the table of docs/LOAD.md as baseline / Group:
//
//	go test ./decision/group -run TestLoadTable -v
func TestLoadTable(t *testing.T) {
	skipUnlessNamed(t)
	for _, s := range []site{pisar, giltScribe, dezurstva, leafDesk} {
		fmt.Printf("\n### %s (capacity %.1f requests a second)\n\n", s.name, s.capacity())
		fmt.Println("| pattern | goodput /s | within targets | wasted prefill | worst organisation | refused in rate | refused with a free slot | quiet keys |")
		fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, pat := range patterns {
			baseline, group := s.meanOverSeeds(pat.name, Config{}, true), s.meanOverSeeds(pat.name, Config{}, false)
			fmt.Printf("| %s | %.1f / %.1f | %.3f / %.3f | %.4f / %.4f | %.2f / %.2f | %.3f / %.3f | - / %d | %.2f / %.2f |\n", pat.name,
				baseline.goodput, group.goodput, baseline.withinTargets, group.withinTargets, baseline.wastedPrefill, group.wastedPrefill, baseline.worstOrganisation, group.worstOrganisation,
				baseline.refusedWithinRate, group.refusedWithinRate, group.refusedWithFreeSlot, baseline.worstQuietKey, group.worstQuietKey)
		}
	}
}
