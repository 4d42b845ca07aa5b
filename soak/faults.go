package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

// fault is one disturbance of a schedule.
type fault struct {
	At time.Duration `json:"at"`
	// For is how long it lasts, where it does.
	For  time.Duration `json:"for"`
	Kind string        `json:"kind"`
	// Target is the number of the instance or engine that it befalls.
	Target int `json:"target"`
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2f s  %-16s %d  for %v", f.At.Seconds(), f.Kind, f.Target, f.For)
}

// Bounds of schedules.
const (
	// faultGap is the mean time between two faults. Faults last up to longestFault, which is
	// longer than a withdrawn key may work on an instance that is cut off, so
	// that several overlap.
	faultGap     = time.Second
	longestFault = 9 * time.Second
	// series is how often in ten a fault comes once more at the same target at once.
	series = 3
)

// kind is a kind of fault: its share among those that are drawn with it, and what it does.
type kind struct {
	name   string
	weight int
	apply  func(r *run, f fault)
}

// kinds are the faults, each with its share among them.
var kinds = []kind{
	{"kill", 3, func(r *run, f fault) { r.instance(f).signal(syscall.SIGKILL) }},
	{"terminate", 3, func(r *run, f fault) { r.instance(f).signal(syscall.SIGTERM) }},
	{"pause", 4, func(r *run, f fault) {
		i := r.instance(f)
		i.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		i.signal(syscall.SIGCONT)
	}},
	{"store slow", 2, func(r *run, f fault) {
		p := r.instance(f).store
		p.delay.Store(int64(200 * time.Millisecond))
		time.Sleep(f.For)
		p.calm()
	}},
	{"store silent", 2, func(r *run, f fault) {
		p := r.instance(f).store
		p.silent.Store(true)
		time.Sleep(f.For)
		p.calm()
		p.reset()
	}},
	{"store unanswered", 2, func(r *run, f fault) {
		p := r.instance(f).store
		p.oneWay.Store(true)
		time.Sleep(f.For)
		p.calm()
		p.reset()
	}},
	{"store reset", 2, func(r *run, f fault) { r.instance(f).store.reset() }},
	{"store down", 2, func(r *run, f fault) {
		r.store.SetDown(true)
		time.Sleep(f.For)
		r.store.SetDown(false)
	}},
	{"engine slow", 2, func(r *run, f fault) {
		p := r.engine(f).way
		p.delay.Store(int64(150 * time.Millisecond))
		time.Sleep(f.For)
		p.calm()
	}},
	{"engine silent", 2, func(r *run, f fault) {
		p := r.engine(f).way
		p.silent.Store(true)
		time.Sleep(f.For)
		p.calm()
		p.reset()
	}},
	{"engine unanswered", 2, func(r *run, f fault) {
		p := r.engine(f).way
		p.oneWay.Store(true)
		time.Sleep(f.For)
		p.calm()
		p.reset()
	}},
	{"engine reset", 3, func(r *run, f fault) { r.engine(f).way.reset() }},
	{"engine crash", 2, func(r *run, f fault) {
		e := r.engine(f)
		e.way.reset()
		e.engine.Replace()
	}},
	{"engine leaves", 2, func(r *run, f fault) {
		e := r.engine(f)
		r.ledger.leaves(e.engine.Leave())
		time.Sleep(max(f.For, leaveTime))
		e.way.reset()
		e.engine.Replace()
	}},
	{"key withdrawn", 2, func(r *run, _ fault) { r.renewKey() }},
}

// lateKinds leave what instances ask for unanswered and carry it out later. They are drawn apart,
// with a gap of their own, so that the other faults of a seed stay as they were.
var lateKinds = []kind{
	{"writes late", 1, func(r *run, f fault) {
		r.store.SetUnansweredDelay(lateBy)
		time.Sleep(f.For)
		r.store.SetUnansweredDelay(0)
	}},
	{"orders late", 1, func(r *run, f fault) {
		e := r.engine(f).engine
		e.SetUnansweredDelay(lateBy)
		time.Sleep(f.For)
		e.SetUnansweredDelay(0)
	}},
}

// reportKinds lose what instances report to one another. They are drawn apart like lateKinds.
var reportKinds = []kind{
	{"reports lost", 2, func(r *run, f fault) { r.loseReports(f, allLost/2, allLost/2) }},
	{"reports cut", 1, func(r *run, f fault) { r.loseReports(f, allLost, allLost) }},
	{"reports unheard", 1, func(r *run, f fault) { r.loseReports(f, allLost, 0) }},
}

// fleetKinds befall all instances at once. They are drawn apart like lateKinds.
var fleetKinds = []kind{
	{"all killed", 1, func(r *run, _ fault) { r.killAll() }},
	{"all killed, store down", 1, func(r *run, f fault) {
		r.store.SetDown(true)
		r.killAll()
		time.Sleep(f.For / 2)
		r.store.SetDown(false)
	}},
	{"all killed, store slow", 1, func(r *run, f fault) {
		for n := range r.instances {
			r.instances[n].store.delay.Store(int64(200 * time.Millisecond))
		}
		r.killAll()
		time.Sleep(f.For)
		for n := range r.instances {
			r.instances[n].store.calm()
		}
	}},
}

// killAll ends all instances at once, as a loss of power does.
func (r *run) killAll() {
	for _, i := range r.instances {
		i.signal(syscall.SIGKILL)
	}
}

// loseReports loses parts, in hundredths, of what an instance reports and is reported.
func (r *run) loseReports(f fault, sent, got int32) {
	end := r.relays.end(r.instance(f).name)
	end.sentLost.Store(sent)
	end.gotLost.Store(got)
	time.Sleep(f.For)
	end.sentLost.Store(0)
	end.gotLost.Store(0)
}

const (
	// reportGap is the mean time between two faults of reportKinds.
	reportGap = 3 * time.Second
	// fleetGap is the mean time between two faults of fleetKinds.
	fleetGap = 12 * time.Second
	// lateBy is how long after it was asked for it is carried out.
	lateBy = 2500 * time.Millisecond
	// lateGap is the mean time between two faults of lateKinds.
	lateGap = 4 * time.Second
)

// schedule draws the faults of a run.
func schedule(seed uint64, length time.Duration, instances, engines int) []fault {
	targets := instances * engines
	return slices.Concat(
		draw(rand.New(rand.NewPCG(seed, 1)), kinds, faultGap, length, targets),
		draw(rand.New(rand.NewPCG(seed, 2)), lateKinds, lateGap, length, targets),
		draw(rand.New(rand.NewPCG(seed, 3)), reportKinds, reportGap, length, targets),
		draw(rand.New(rand.NewPCG(seed, 4)), fleetKinds, fleetGap, length, targets),
	)
}

// draw draws faults of some kinds with a mean gap between them.
func draw(rng *rand.Rand, from []kind, gap, length time.Duration, targets int) []fault {
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
		f := fault{At: at, For: time.Duration(rng.Int64N(int64(longestFault))), Kind: from[n].name, Target: rng.IntN(targets)}
		out = append(out, f)
		if rng.IntN(10) < series {
			f.At += f.For + time.Duration(rng.Int64N(int64(time.Second)))
			out = append(out, f)
		}
	}
	return out
}
