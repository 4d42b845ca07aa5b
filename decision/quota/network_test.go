package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

const (
	step     = 10 * time.Millisecond
	interval = 200 * time.Millisecond
	delay    = 20 * time.Millisecond
	// confirmDelay is how soon a report is confirmed by the next.
	confirmDelay = 80 * time.Millisecond
)

// network is a fleet whose instances report to one another every 200 ms over links
// that can be cut one way, and that can freeze.
type network struct {
	now    time.Duration
	nodes  []*node
	cut    map[[2]int]bool
	sent   []sentReport
	limit  Limit
	spends []spend
	// every is the time between reports, if set; they are then sent at no other time.
	every time.Duration
}

type node struct {
	id     MemberID
	ledger *Ledger
	// frozen until a time; a frozen instance neither sends, hears nor admits.
	frozen time.Duration
	// confirm is when it tells what it has heard.
	confirm time.Duration
}

type sentReport struct {
	at   time.Duration
	to   int
	from int
	r    Report
}

type spend struct {
	at     time.Duration
	tokens int64
}

const org = "organisation"

func newNetwork(n int, limit Limit) *network {
	w := &network{cut: make(map[[2]int]bool), limit: limit, now: time.Second}
	for i := range n {
		w.nodes = append(w.nodes, &node{id: MemberID{fmt.Sprint("i", i), 1}})
	}
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

// start begins a run of an instance.
func (w *network) start(i int) {
	n := w.nodes[i]
	n.ledger = New(DefaultConfig(), n.id, w.now, func(l Limit) float64 { return l.Burst })
	n.ledger.SetLimit(w.now, org, w.limit)
	w.list()
}

// list tells every instance the list of the store.
func (w *network) list() {
	for i, n := range w.nodes {
		if n.ledger == nil {
			continue
		}
		var ids []MemberID
		for j, other := range w.nodes {
			if j != i {
				ids = append(ids, other.id)
			}
		}
		n.ledger.SetMembers(w.now, ids)
	}
}

// run lets time pass. ask is called for every instance that is not frozen.
func (w *network) run(d time.Duration, ask func(i int) int64) {
	for end := w.now + d; w.now < end; w.now += step {
		w.deliver()
		for i, n := range w.nodes {
			if w.now < n.frozen {
				continue
			}
			if w.due(i) {
				w.report(i)
			}
			if tokens := ask(i); tokens > 0 {
				w.admit(i, tokens)
			}
		}
	}
}

func (w *network) due(i int) bool {
	if w.every > 0 {
		return w.now%w.every == time.Duration(i)*step%w.every
	}
	return w.now%interval == time.Duration(i)*step%interval || w.now == w.nodes[i].confirm
}

func (w *network) admit(i int, tokens int64) bool {
	d := w.nodes[i].ledger.Admit(w.now, org, tokens)
	if d.Admitted {
		w.spends = append(w.spends, spend{w.now, tokens})
		if w.every == 0 {
			w.report(i)
		}
	}
	return d.Admitted
}

// admitPatiently asks again, as callers' requests do, while others have yet to confirm
// what the instance has spent.
func (w *network) admitPatiently(i int) bool {
	for range 10 {
		if w.admit(i, request) {
			return true
		}
		w.run(25*time.Millisecond, func(int) int64 { return 0 })
	}
	return false
}

func (w *network) report(i int) {
	r := w.nodes[i].ledger.Report(w.now)
	for j := range w.nodes {
		if j != i && !w.cut[[2]int{i, j}] {
			w.sent = append(w.sent, sentReport{w.now + delay, j, i, r})
		}
	}
}

func (w *network) deliver() {
	var later []sentReport
	for _, s := range w.sent {
		switch {
		case s.at > w.now:
			later = append(later, s)
		case w.now >= w.nodes[s.to].frozen:
			// Ages travel, so that a report's times are in its receiver's clock.
			n := w.nodes[s.to]
			n.ledger.Hear(w.now, s.r)
			if n.confirm < w.now {
				n.confirm = w.now + confirmDelay
			}
		}
	}
	w.sent = later
}

// most is the most that was spent in any window.
func (w *network) most(window time.Duration) int64 {
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

const (
	window  = 8 * time.Second
	request = 14_000
)

var busy = Limit{Rate: 100_000, Burst: 100_000}

// allowed is what the limit allows in a window, and slack what passes on the way:
// within the time in which silence is noticed, both sides of a cut may spend the same
// tokens.
func allowed(l Limit) int64 { return int64(l.Rate*window.Seconds() + l.Burst) }
