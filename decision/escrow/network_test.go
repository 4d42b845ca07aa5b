package escrow

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

const (
	step = 10 * time.Millisecond
	// interval is the time between two reports to one hub, silence the time after which one
	// that is not heard is left.
	interval = 500 * time.Millisecond
	silence  = 1300 * time.Millisecond
	window   = 8 * time.Second
	request  = 14_000
	org      = uint64(5)
)

var busy = Limit{Rate: 100_000, Burst: 100_000}

// allowed is what a limit allows in a window.
func allowed(l Limit) int64 { return int64(l.Rate*window.Seconds() + l.Burst) }

// network is a fleet whose instances report to hubs over links that are cut and lose reports.
type network struct {
	now    time.Duration
	rng    *rand.Rand
	limit  Limit
	nodes  []*node
	byName map[string]*node
	// cut links carry nothing from the first to the second.
	cut    map[[2]int]bool
	loss   float64
	spends []spend
	// reports counts what was sent.
	reports int
	// all are the hubs while none is silent.
	all []string
}

type node struct {
	index int
	name  string
	dc    string
	power int
	run   Run
	giver *CreditSource
	home  *Home
	// heard is when each hub that was asked was last heard, asked since when it was not.
	asked  map[int]time.Duration
	frozen time.Duration
	// bills are what it has charged to each run, in total.
	bills map[Run]int64
}

type spend struct {
	at     time.Duration
	tokens int64
}

func newNetwork(n int, limit Limit, seed uint64) *network {
	w := &network{now: time.Second, rng: rand.New(rand.NewPCG(seed, 9)), limit: limit, byName: make(map[string]*node), cut: make(map[[2]int]bool)}
	for i := range n {
		power := 192
		if i%20 == 0 {
			power = 800
		}
		d := &node{index: i, name: fmt.Sprint("i", i), dc: fmt.Sprint("dc", i%5), power: power}
		w.nodes = append(w.nodes, d)
		w.byName[d.name] = d
		w.start(d)
	}
	return w
}

// start begins a run of an instance.
func (w *network) start(d *node) {
	d.run++
	d.run += Run(d.index << 8)
	d.giver, d.home = NewCreditSource(w.now), NewHome(w.now)
	d.home.SetLimits(map[uint64]Limit{org: w.limit})
	d.asked = make(map[int]time.Duration)
	d.bills = make(map[Run]int64)
}

// hubs are the hubs that an instance chooses: of all but those that have left its reports
// unanswered.
func (w *network) hubs(d *node) []string {
	silent := make(map[int]bool)
	for other, since := range d.asked {
		if w.now-since > silence {
			silent[other] = true
		}
	}
	if len(silent) == 0 && w.all != nil {
		return w.all
	}
	chosen := w.choose(silent)
	if len(silent) == 0 {
		w.all = chosen
	}
	return chosen
}

func (w *network) choose(silent map[int]bool) []string {
	var candidates []hub.Candidate
	for _, other := range w.nodes {
		if silent[other.index] {
			continue
		}
		candidates = append(candidates, hub.Candidate{Name: other.name, Hash: xxhash.Sum64String(other.name), DataCentre: other.dc, Millicores: other.power, Settled: true})
	}
	return hub.Choose(candidates, len(w.nodes), hub.Hubs)
}

func (w *network) homeOf(d *node) *node {
	hubs := w.hubs(d)
	hashes := make([]uint64, len(hubs))
	for i, name := range hubs {
		hashes[i] = xxhash.Sum64String(name)
	}
	return w.byName[hubs[hub.HomeOf(ShardOf(org), hashes)]]
}

// passes reports whether a message gets through.
func (w *network) passes(from, to *node) bool {
	return !w.cut[[2]int{from.index, to.index}] && w.now >= to.frozen && w.now >= from.frozen && w.rng.Float64() >= w.loss
}

// report hands an instance's part on to the home, and what it has left if another has taken its
// place.
func (w *network) report(d *node) {
	home := w.homeOf(d)
	if home != d {
		for _, tokens := range d.home.HandOver(ShardOf(org)) {
			d.bills[home.run] -= tokens
		}
	}
	d.giver.Accrue(w.now, len(w.nodes))
	totals := d.giver.Transfer(home.run, []int{ShardOf(org)})
	if home == d {
		d.home.Receive(w.now, d.run, totals)
		return
	}
	w.reports++
	if _, waiting := d.asked[home.index]; !waiting {
		d.asked[home.index] = w.now
	}
	if !w.passes(d, home) {
		return
	}
	home.home.Receive(w.now, d.run, totals)
	home.home.Charge(d.run, org, d.bills[home.run])
	if w.passes(home, d) {
		delete(d.asked, home.index)
	}
}

// run lets time pass. ask is called for every instance that is not frozen.
func (w *network) run(d time.Duration, ask func(i int) int64) {
	for end := w.now + d; w.now < end; w.now += step {
		for i, d := range w.nodes {
			if w.now < d.frozen {
				continue
			}
			if w.now%interval == time.Duration(i)*step%interval {
				w.report(d)
			}
			if tokens := ask(i); tokens > 0 {
				w.admit(d, tokens)
			}
		}
		w.probe()
	}
}

// probe lets silent hubs be tried again, as others that hear them name them.
func (w *network) probe() {
	for _, d := range w.nodes {
		for other, since := range d.asked {
			if w.now-since > silence+3*time.Second {
				delete(d.asked, other)
			}
		}
	}
}

// admit asks the home for tokens, and reports whether it gave them.
func (w *network) admit(d *node, tokens int64) bool {
	home := w.homeOf(d)
	if home != d && !(w.passes(d, home) && w.passes(home, d)) {
		return false
	}
	if home == d {
		w.report(d)
	}
	if !home.home.Take(w.now, org, tokens).Granted {
		return false
	}
	w.spends = append(w.spends, spend{w.now, tokens})
	return true
}

// most is the most that was spent in any window.
func (w *network) most() int64 {
	var sum, most int64
	first := 0
	for _, s := range w.spends {
		sum += s.tokens
		for w.spends[first].at <= s.at-window {
			sum -= w.spends[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (w *network) spent(from time.Duration) int64 {
	sum := int64(0)
	for _, s := range w.spends {
		if s.at >= from {
			sum += s.tokens
		}
	}
	return sum
}

func nobody(int) int64 { return 0 }

// hot asks for a number of times the rate, spread over all instances.
func (w *network) hot(times float64) func(int) int64 {
	chance := times * w.limit.Rate * step.Seconds() / request / float64(len(w.nodes))
	return func(int) int64 {
		if w.rng.Float64() < chance {
			return request
		}
		return 0
	}
}
