package group

import (
	"fmt"
	"testing"

	"github.com/cairnworks/cairnworks/decision/placement"
)

// sweep varies one constant under a load that shows its effect.
type sweep struct {
	name    string
	site    site
	pattern string
	values  []float64
	apply   func(c *Config, v float64)
}

var sweeps = []sweep{
	{"queue.DeferrableShare", pisar, "overload 3", []float64{0.02, 0.05, 0.1, 0.2, 0.4},
		func(c *Config, v float64) { c.DeferrableShare = v }},
	{"queue.PreferenceLead", pisar, "hot caller", []float64{1, 10, 30, 100, 1e9},
		func(c *Config, v float64) { c.PreferenceLead = v }},
	{"transferBudgetShare", giltScribe, "narrow links", []float64{0.1, 0.25, 0.4, 0.6, 0.9},
		func(c *Config, v float64) { c.tuning.transferBudgetShare = v }},
	{"minWaitShare", pisar, "long at capacity", []float64{0.05, 0.1, 0.25, 0.5, 0.9},
		func(c *Config, v float64) { c.tuning.minWaitShare = v }},
	{"deviationMultiplier", giltScribe, "overload 1.5", []float64{0.1, 1, 2, 4, 8},
		func(c *Config, v float64) { c.tuning.deviationMultiplier = v }},
	{"deviationMultiplier (plain)", leafDesk, "overload 1.5", []float64{0.1, 1, 2, 4, 8},
		func(c *Config, v float64) { c.tuning.deviationMultiplier = v }},
	{"maxParked", giltScribe, "narrow links", []float64{1, 4, 8, 16},
		func(c *Config, v float64) { c.tuning.maxParked = int(v) }},
	{"maxFailedPlacements", pisar, "flood of long", []float64{1, 2, 4, 16},
		func(c *Config, v float64) { c.tuning.maxFailedPlacements = int(v) }},
	{"maxResumedKeys", pisar, "flood of long", []float64{1, 4, 16},
		func(c *Config, v float64) { c.tuning.maxResumedKeys = int(v) }},
	{"claims (1) or none (0)", pisar, "long at capacity", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disableReservations = v == 0 }},
	{"claims (1) or none (0)", pisar, "flood of long", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disableReservations = v == 0 }},
	{"claims (1) or none (0)", giltScribe, "long at capacity", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disableReservations = v == 0 }},
	{"prefix affinity (1) or none (0)", pisar, "slow upstream", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disablePrefixAffinity = v == 0 }},
	{"prefix affinity (1) or none (0)", giltScribe, "burst", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disablePrefixAffinity = v == 0 }},
	{"prefix affinity (1) or none (0)", pisar, "overload 1.5", []float64{0, 1},
		func(c *Config, v float64) { c.tuning.disablePrefixAffinity = v == 0 }},
	{"LimitPolicy.MinCutFactor", giltScribe, "slow upstream", []float64{0.25, 0.5, 0.75, 0.9},
		func(c *Config, v float64) {
			c.tuning.limitPolicy = placement.LimitPolicy{MinCutFactor: v, Tolerance: 1.05, MinSlotShare: 0.25}
		}},
	{"LimitPolicy.Tolerance", giltScribe, "slow upstream", []float64{1.001, 1.05, 1.2, 1.5, 100},
		func(c *Config, v float64) {
			c.tuning.limitPolicy = placement.LimitPolicy{MinCutFactor: 0.5, Tolerance: v, MinSlotShare: 0.25}
		}},
}

// TestSweeps prints the effect of each constant as means over tableSeeds seeds:
//
//	go test ./decision/group -run TestSweeps -v
func TestSweeps(t *testing.T) {
	skipUnlessNamed(t)
	fmt.Println("| constant | load | value | goodput /s | within targets | wasted prefill | prefill ms per answer | worst organisation | refused in rate | long answered |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, sw := range sweeps {
		for _, v := range sw.values {
			cfg := Config{}.withDefaults()
			sw.apply(&cfg, v)
			m := sw.site.meanOverSeeds(sw.pattern, cfg, false)
			fmt.Printf("| %s | %s, %s | %g | %.1f | %.3f | %.4f | %.0f | %.3f | %.3f | %.2f |\n", sw.name, sw.site.name, sw.pattern, v,
				m.goodput, m.withinTargets, m.wastedPrefill, m.prefillPerAnswer*1000, m.worstOrganisation, m.refusedWithinRate, m.longAnswered)
		}
	}
}
