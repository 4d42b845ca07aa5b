package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// fault is one scheduled fault.
type fault struct {
	At time.Duration `json:"at"`
	// Duration is how long the fault lasts; kinds without a duration, such as kill, ignore it.
	Duration time.Duration `json:"for"`
	Kind     string        `json:"kind"`
	// Target selects the affected instance or engine, modulo their number.
	Target int `json:"target"`
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s  %-16s %d  for %v", f.At.Seconds(), f.Kind, f.Target, f.Duration)
}

// Parameters of the schedule.
const (
	// meanFaultGap is the mean time between two faults of baseKinds. Faults last up to
	// maxFaultDuration, which is longer than a withdrawn key may be accepted by an isolated instance,
	// so that several faults overlap.
	meanFaultGap     = time.Second
	maxFaultDuration = 9 * time.Second
	// repeatChance is the probability, in tenths, that a fault is repeated once at the same target
	// within a second after its end.
	repeatChance = 3
)

// faultKind is a kind of fault. Its weight is relative to the kinds that are drawn with it; apply
// injects the fault and returns when it has ended.
type faultKind struct {
	name   string
	weight int
	apply  func(r *run, f fault)
}

// baseKinds are the faults at one instance, at one engine, at the store and of keys.
var baseKinds = []faultKind{
	{"kill", 3, func(r *run, f fault) { r.targetInstance(f).signal(syscall.SIGKILL) }},
	{"terminate", 3, func(r *run, f fault) { r.targetInstance(f).signal(syscall.SIGTERM) }},
	{"pause", 4, func(r *run, f fault) {
		i := r.targetInstance(f)
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		i.signal(syscall.SIGCONT)
	}},
	{"store slow", 2, func(r *run, f fault) {
		p := r.targetInstance(f).storeProxy
		p.SetDelay(200 * time.Millisecond)
		time.Sleep(f.Duration)
		p.ClearFaults()
	}},
	{"store silent", 2, func(r *run, f fault) {
		p := r.targetInstance(f).storeProxy
		p.Drop()
		time.Sleep(f.Duration)
		p.ClearFaults()
		p.Reset()
	}},
	{"store unanswered", 2, func(r *run, f fault) {
		p := r.targetInstance(f).storeProxy
		p.DropResponses()
		time.Sleep(f.Duration)
		p.ClearFaults()
		p.Reset()
	}},
	{"store reset", 2, func(r *run, f fault) { r.targetInstance(f).storeProxy.Reset() }},
	{"store down", 2, func(r *run, f fault) {
		r.store.SetDown(true)
		time.Sleep(f.Duration)
		r.store.SetDown(false)
	}},
	{"engine slow", 2, func(r *run, f fault) {
		p := r.targetEngine(f).proxy
		p.SetDelay(150 * time.Millisecond)
		time.Sleep(f.Duration)
		p.ClearFaults()
	}},
	{"engine silent", 2, func(r *run, f fault) {
		p := r.targetEngine(f).proxy
		p.Drop()
		time.Sleep(f.Duration)
		p.ClearFaults()
		p.Reset()
	}},
	{"engine unanswered", 2, func(r *run, f fault) {
		p := r.targetEngine(f).proxy
		p.DropResponses()
		time.Sleep(f.Duration)
		p.ClearFaults()
		p.Reset()
	}},
	{"engine reset", 3, func(r *run, f fault) { r.targetEngine(f).proxy.Reset() }},
	{"engine crash", 2, func(r *run, f fault) {
		e := r.targetEngine(f)
		e.proxy.Reset()
		e.engine.Replace()
	}},
	{"engine leaves", 2, func(r *run, f fault) {
		e := r.targetEngine(f)
		r.ledger.addLeavingEngine(e.engine.Leave())
		time.Sleep(max(f.Duration, engineDrainTime))
		e.proxy.Reset()
		e.engine.Replace()
	}},
	{"key withdrawn", 2, func(r *run, _ fault) { r.rotateKey() }},
}

// delayKinds leave requests by instances unanswered and execute them later. They are drawn from
// their own random source, with their own gap, so that adding them does not change the other faults
// of a seed.
var delayKinds = []faultKind{
	{"writes late", 1, func(r *run, f fault) {
		r.store.SetUnansweredDelay(processingDelay)
		time.Sleep(f.Duration)
		r.store.SetUnansweredDelay(0)
	}},
	{"orders late", 1, func(r *run, f fault) {
		e := r.targetEngine(f).engine
		e.SetUnansweredDelay(processingDelay)
		time.Sleep(f.Duration)
		e.SetUnansweredDelay(0)
	}},
}

// needKinds let engines name the requests that they take, and let configurations become too large for
// reports. They are drawn separately, like delayKinds.
var needKinds = []faultKind{
	{"engine in need", 2, func(r *run, f fault) {
		e := r.targetEngine(f).engine
		start := time.Now()
		id, ok := e.NameLimit(fmt.Sprint(namedLimit))
		if !ok {
			return
		}
		time.Sleep(f.Duration)
		r.ledger.addLimit(engineLimit{engine: id, perSecond: namedLimit, start: start, end: time.Now()})
		e.EndLimit(id)
	}},
	{"configuration large", 1, func(r *run, f fault) {
		r.store.SetIdleRoutes(largeRoutes)
		r.rotateKey()
		time.Sleep(f.Duration)
		r.rotateKey()
		r.store.SetIdleRoutes(0)
	}},
}

// failingKinds let upstreams fail requests that they run while their health is good. They are drawn separately, like delayKinds.
var failingKinds = []faultKind{
	{"engine fails all", 1, func(r *run, f fault) { r.failRequests(f, 1) }},
	{"engine fails half", 1, func(r *run, f fault) { r.failRequests(f, 0.5) }},
}

// meanFailingGap is the mean time between two faults of failingKinds.
const meanFailingGap = 5 * time.Second

// failRequests makes an engine fail a share of the requests that it runs for the duration of a fault.
func (r *run) failRequests(f fault, share float64) {
	e := r.targetEngine(f).engine
	e.SetFailing(share)
	time.Sleep(f.Duration)
	e.SetFailing(0)
}

const (
	// namedLimit is the limit that engines in need name, in requests per second.
	namedLimit = 2.5
	// largeRoutes is the number of routes of a large configuration that no caller uses.
	largeRoutes = 1500
	// meanNeedGap is the mean time between two faults of needKinds.
	meanNeedGap = 4 * time.Second
)

// reportLossKinds drop reports between instances. They are drawn separately, like delayKinds.
var reportLossKinds = []faultKind{
	{"reports lost", 2, func(r *run, f fault) { r.dropReports(f, fullLossPercent/2, fullLossPercent/2) }},
	{"reports cut", 1, func(r *run, f fault) { r.dropReports(f, fullLossPercent, fullLossPercent) }},
	{"reports unheard", 1, func(r *run, f fault) { r.dropReports(f, fullLossPercent, 0) }},
}

// fleetWideKinds affect all instances at once. They are drawn separately, like delayKinds.
var fleetWideKinds = []faultKind{
	{"all killed", 1, func(r *run, _ fault) { r.killAll() }},
	{"all killed, store down", 1, func(r *run, f fault) {
		r.store.SetDown(true)
		r.killAll()
		time.Sleep(f.Duration / 2)
		r.store.SetDown(false)
	}},
	{"all killed, store slow", 1, func(r *run, f fault) {
		for n := range r.instances {
			r.instances[n].storeProxy.SetDelay(200 * time.Millisecond)
		}
		r.killAll()
		time.Sleep(f.Duration)
		for n := range r.instances {
			r.instances[n].storeProxy.ClearFaults()
		}
	}},
}

// killAll kills all instances at once, as a power failure does.
func (r *run) killAll() {
	for _, i := range r.instances {
		i.signal(syscall.SIGKILL)
	}
}

// dropReports drops the given percentages of the reports that an instance sends and receives.
func (r *run) dropReports(f fault, sendPercent, receivePercent int32) {
	endpoint := r.relays.endpoint(r.targetInstance(f).name)
	endpoint.sendLossPercent.Store(sendPercent)
	endpoint.receiveLossPercent.Store(receivePercent)
	time.Sleep(f.Duration)
	endpoint.sendLossPercent.Store(0)
	endpoint.receiveLossPercent.Store(0)
}

const (
	// meanReportLossGap is the mean time between two faults of reportLossKinds.
	meanReportLossGap = 3 * time.Second
	// meanFleetWideGap is the mean time between two faults of fleetWideKinds.
	meanFleetWideGap = 12 * time.Second
	// processingDelay is the delay with which delayKinds execute requests.
	processingDelay = 2500 * time.Millisecond
	// meanDelayGap is the mean time between two faults of delayKinds.
	meanDelayGap = 4 * time.Second
)

// slowKinds make engines slower. They are drawn separately, like delayKinds.
var slowKinds = []faultKind{
	{"upstream slow", 1, func(r *run, f fault) {
		e := r.targetEngine(f).engine
		id := e.SetSlowness(slowFactor)
		time.Sleep(f.Duration)
		e.EndSlowness(id)
	}},
}

const (
	// slowStream numbers the random source of slowKinds.
	slowStream = 14
	// meanSlowGap is the mean time between two faults of slowKinds, and slowFactor the multiple of the usual time.
	meanSlowGap = 4 * time.Second
	slowFactor  = 5
)

// newSchedule draws the faults of a run. It is deterministic.
func newSchedule(seed uint64, length time.Duration, instances, engines int) []fault {
	targets := instances * engines
	return slices.Concat(
		drawFaults(rand.New(rand.NewPCG(seed, 1)), baseKinds, meanFaultGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 2)), delayKinds, meanDelayGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 3)), reportLossKinds, meanReportLossGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 4)), fleetWideKinds, meanFleetWideGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 5)), needKinds, meanNeedGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 6)), partitionKinds, meanPartitionGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 7)), statementKinds, meanStatementGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 8)), crashingKinds, meanCrashingGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 9)), massKinds, meanMassGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 10)), drillKinds, meanDrillGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, 11)), failingKinds, meanFailingGap, length, targets),
		drawFaults(rand.New(rand.NewPCG(seed, slowStream)), slowKinds, meanSlowGap, length, targets),
	)
}

// drawFaults draws faults of the given kinds with exponentially distributed gaps.
func drawFaults(rng *rand.Rand, from []faultKind, gap, length time.Duration, targets int) []fault {
	total := 0
	for _, k := range from {
		total += k.weight
	}
	var out []fault
	for at := gap; at < length; at += time.Duration(rng.ExpFloat64() * float64(gap)) {
		drawn := rng.IntN(total)
		n := 0
		for ; drawn >= from[n].weight; n++ {
			drawn -= from[n].weight
		}
		f := fault{At: at, Duration: time.Duration(rng.Int64N(int64(maxFaultDuration))), Kind: from[n].name, Target: rng.IntN(targets)}
		out = append(out, f)
		if rng.IntN(10) < repeatChance {
			f.At += f.Duration + time.Duration(rng.Int64N(int64(time.Second)))
			out = append(out, f)
		}
	}
	return out
}
