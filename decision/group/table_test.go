package group

import (
	"testing"
)

// TestLoadTable prints the table of docs/LOAD.md:
//
//	go test ./decision/group -run TestLoadTable -v
func TestLoadTable(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints only")
	}
	for _, s := range []site{pisar, giltScribe, dezurstva, leafDesk} {
		t.Logf("%s: capacity %.1f requests/s", s.name, s.capacity())
		t.Log("| pattern | | goodput /s | good | wasted prefill | worst organisation | refused in rate | of these with a free place |")
		t.Log("| --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, pat := range patterns {
			for _, useNaive := range []bool{true, false} {
				name := "ours"
				if useNaive {
					name = "naive"
				}
				m := s.run(pat, 1, Config{}, useNaive)
				t.Logf("| %s | %s | %.1f | %.3f | %.3f | %.2f | %.3f | %d | key %.2f long %.2f short %.2f", pat.name, name,
					m.goodput, m.goodPart, m.wasted, m.worst, m.refused, m.refusedFree, m.worstKey, m.longServed, m.shortServed)
			}
		}
	}
}
