package soak

import (
	"fmt"
	"math/rand/v2"
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

// kinds are the faults, each with its share among them.
var kinds = []struct {
	name   string
	weight int
	apply  func(r *run, f fault)
}{
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
		e.engine.Leave()
		time.Sleep(max(f.For, leaveTime))
		e.way.reset()
		e.engine.Replace()
	}},
	{"key withdrawn", 2, func(r *run, _ fault) { r.renewKey() }},
}

// schedule draws the faults of a run.
func schedule(seed uint64, length time.Duration, instances, engines int) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []fault
	for at := faultGap; at < length; at += time.Duration(rng.ExpFloat64() * float64(faultGap)) {
		draw := rng.IntN(total)
		n := 0
		for ; draw >= kinds[n].weight; n++ {
			draw -= kinds[n].weight
		}
		f := fault{At: at, For: time.Duration(rng.Int64N(int64(longestFault))), Kind: kinds[n].name, Target: rng.IntN(instances * engines)}
		out = append(out, f)
		if rng.IntN(10) < series {
			f.At += f.For + time.Duration(rng.Int64N(int64(time.Second)))
			out = append(out, f)
		}
	}
	return out
}
