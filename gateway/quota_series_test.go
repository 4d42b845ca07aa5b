package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// seriesFleet is a fleet in virtual time whose instances are killed and started again one after the other.
type seriesFleet struct {
	now     time.Duration
	rng     *rand.Rand
	load    smallLoad
	index   *object.Index
	members []*seriesMember
	asks    uint64
	waiting []seriesRequest
	taken   []restartGrant
	// refused counts requests for which the quota did not suffice, and unanswered those whose home did not answer.
	refused, unanswered int
}

type seriesMember struct {
	*Quotas
	fleet *seriesFleet
	self  fleet.Member
	// killed is when the last run ended, up when this run is ready, and heard when others have heard of it.
	killed, up, heard time.Duration
	// earlier is the run that others know until they hear of this one.
	earlier  fleet.Hub
	suspects map[string]time.Duration
	received []*fleet.Report
}

// seriesRequest is a request that waits for tokens.
type seriesRequest struct {
	at             *seriesMember
	arrived, again time.Duration
}

const (
	seriesStep = 10 * time.Millisecond
	// silenceLimit is the time after which an instance that does not report is no hub.
	silenceLimit    = 700 * time.Millisecond
	seriesSuspicion = time.Second
	// startTime is the time from the start of a process until it is ready; it reports a little later.
	startTime   = 100 * time.Millisecond
	firstReport = 20 * time.Millisecond
)

func newSeriesFleet(size int, load smallLoad) *seriesFleet {
	set := object.Set{
		Limits:        []object.Limit{{Name: "l", TokensPerSecond: int64(load.rate), Burst: int64(load.burst), CallTokens: 1}},
		Organisations: []object.Organisation{{Name: "small", Limit: "l"}},
	}
	f := &seriesFleet{now: time.Second, rng: rand.New(rand.NewPCG(1, 1)), load: load, index: object.NewIndex(set, 1)}
	for n := range size {
		m := &seriesMember{fleet: f, self: fleet.Member{Name: fmt.Sprint("i", n)}}
		f.members = append(f.members, m)
		m.start()
	}
	f.run(7*time.Second, nil)
	return f
}

func (m *seriesMember) start() {
	m.self.Incarnation++
	m.received, m.suspects = nil, make(map[string]time.Duration)
	m.Quotas = NewQuotas(func() time.Duration { return m.fleet.now }, m.self, m.fleet.load.bound)
	m.Connect(m)
	m.SetLimits(m.fleet.index)
}

// restart kills the instance and starts it again after a time.
func (m *seriesMember) restart(down time.Duration) {
	m.earlier, m.killed = m.hub(), m.fleet.now
	m.up = m.fleet.now + down + startTime
	m.heard = m.up + firstReport
	m.start()
}

func (m *seriesMember) hub() fleet.Hub {
	return fleet.Hub{Name: m.self.Name, Run: fleet.RunOf(m.self.Name, m.self.Incarnation)}
}

func (m *seriesMember) ready() bool { return m.fleet.now >= m.up }

func (m *seriesMember) Size() fleet.Size {
	if !m.ready() {
		return fleet.Size{}
	}
	return fleet.SizeOf(len(m.fleet.members))
}

func (m *seriesMember) MarkSuspect(name string) { m.suspects[name] = m.fleet.now + seriesSuspicion }

// Hubs returns the hubs as this instance knows them. In a large fleet, instances that were not restarted are preferred.
func (m *seriesMember) Hubs() (out []fleet.Hub) {
	now, large := m.fleet.now, len(m.fleet.members) > largestSmall
	for _, other := range m.fleet.members {
		known := other.hub()
		switch {
		case large && other.killed > 0 && now >= other.heard:
			continue
		case other == m:
		case other.killed > 0 && now < other.heard:
			if now-other.killed > silenceLimit || now < m.suspects[other.self.Name] {
				continue
			}
			known = other.earlier
		}
		if out = append(out, known); large && len(out) == largeFleetHubs {
			break
		}
	}
	return out
}

func (m *seriesMember) RequestTokens(_ context.Context, to string, a fleet.Ask) (fleet.Grant, error) {
	for _, other := range m.fleet.members {
		if other.self.Name == to && other.ready() {
			m.fleet.asks++
			a.ID = m.fleet.asks
			return other.HandleAsk(m.fleet.now, a), nil
		}
	}
	return fleet.Grant{}, errors.New("no answer")
}

// run advances the time. each, if set, is called in each step.
func (f *seriesFleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += seriesStep {
		for n, m := range f.members {
			received := m.received
			m.received = nil
			if !m.ready() {
				continue
			}
			for _, r := range received {
				m.ApplyReport(f.now, r)
			}
			m.send(n)
		}
		if each != nil {
			each()
		}
	}
}

// send sends the reports of the nth instance that are due.
func (m *seriesMember) send(n int) {
	f, interval := m.fleet, smallFleetReport
	if len(f.members) > largestSmall {
		interval = largeFleetPoll
	}
	if (f.now+seriesStep*time.Duration(n*3))%interval >= seriesStep {
		return
	}
	common := &fleet.Report{Instance: m.self.Name, Incarnation: m.self.Incarnation}
	m.FillReport(f.now, common)
	for _, known := range m.Hubs() {
		other := f.member(known.Name)
		if other == m {
			continue
		}
		r := *common
		r.To = known.Run
		m.FillReportFor(f.now, known.Run, &r)
		// A report for an earlier run reaches the process that has its address now.
		other.received = append(other.received, &r)
	}
}

func (f *seriesFleet) member(name string) *seriesMember {
	return f.members[slices.IndexFunc(f.members, func(m *seriesMember) bool { return m.self.Name == name })]
}

// take decides on a request that has come now or waits for tokens.
func (f *seriesFleet) take(r seriesRequest) {
	d := r.at.Take(context.Background(), QuotaRequest{Organisation: "small", Tokens: f.load.tokens})
	again := f.now + max(d.Retry, seriesStep)
	switch {
	case d.Admitted:
		f.taken = append(f.taken, restartGrant{f.now, f.load.tokens})
	case again-r.arrived <= f.load.wait || d.Unanswered && again-r.arrived <= silenceLimit:
		f.waiting = append(f.waiting, seriesRequest{r.at, r.arrived, again})
	case d.Unanswered:
		f.unanswered++
	default:
		f.refused++
	}
}

// sendRequests sends requests for some tokens per second to the instances that are ready, in turn.
func (f *seriesFleet) sendRequests(d time.Duration, perSecond float64, each func()) {
	due, turn := 0.0, 0
	f.run(d, func() {
		each()
		waiting := f.waiting
		f.waiting = nil
		for _, r := range waiting {
			switch {
			case !r.at.ready():
			case f.now < r.again:
				f.waiting = append(f.waiting, r)
			default:
				f.take(r)
			}
		}
		for due += perSecond / float64(f.load.tokens) * seriesStep.Seconds(); due >= 1; due-- {
			for turn++; !f.members[turn%len(f.members)].ready(); turn++ {
			}
			f.take(seriesRequest{f.members[turn%len(f.members)], f.now, f.now})
		}
	})
}

func (f *seriesFleet) maxInWindow(window time.Duration) int64 {
	r := reportingFleet{taken: f.taken}
	return r.maxInWindow(window)
}

// Guards against totals that were spent from the buckets of a run that has ended, and are charged to the next run of the
// same instance, since reports that were addressed to the earlier one arrive there.
func TestTotalsForAnEarlierRunAreNotCharged(t *testing.T) {
	f := newSeriesFleet(2, smallLoads["slack of several seconds"])
	home, _ := f.members[0].homeOf(fleet.HashOf("small"))
	m := f.member(home.Name)
	level := func() float64 { return m.takeLocal(f.now, fleet.Ask{Organisation: fleet.HashOf("small")}).Level }
	report := fleet.Report{Instance: "other", Incarnation: 1, Bills: []fleet.Bill{{Organisation: fleet.HashOf("small"), Tokens: 5000}}}
	before := level()
	earlier := fleet.RunOf(m.self.Name, m.self.Incarnation-1)
	for _, r := range []fleet.Report{{To: earlier}, {Heard: fleet.Heard{Run: earlier}}} {
		r.Instance, r.Incarnation, r.Bills = report.Instance, report.Incarnation, report.Bills
		m.ApplyReport(f.now, &r)
		assert.Equal(t, level(), before)
	}
	report.To = m.hub().Run
	m.ApplyReport(f.now, &report)
	assert.Equal(t, level(), before-5000)
}

// Guards against requests within the quota that are refused while one instance after the other is killed and started
// again.
func TestRestartsInSeriesRefuseNothingWithinTheQuota(t *testing.T) {
	testRestartsInSeries(t, smallLoad{
		rate: 14_400, burst: 28_800, bound: QuotaBound{Window: 8 * time.Second, Over: 0.1, Slack: 72_000}, tokens: 200, wait: 100 * time.Millisecond,
	})
}

// Guards against prompts within the quota that are refused while one instance after the other is killed and started again,
// because the home that takes over an organisation starts with an empty bucket.
func TestRestartsInSeriesRefuseNoPromptsWithinTheQuota(t *testing.T) {
	testRestartsInSeries(t, smallLoad{
		rate: 96_000, burst: 192_000, bound: QuotaBound{Window: 8 * time.Second, Over: 0.1, Slack: 72_000}, tokens: 5_330, wait: 300 * time.Millisecond,
	})
}

func testRestartsInSeries(t *testing.T, load smallLoad) {
	const (
		interval = 1500 * time.Millisecond
		down     = 300 * time.Millisecond
	)
	for _, size := range []int{1, 3, 9, 40} {
		for _, times := range []float64{0.5, 0.78, 7.5} {
			t.Run(fmt.Sprintf("%d instances, %.2f of the rate", size, times), func(t *testing.T) {
				t.Parallel()
				f := newSeriesFleet(size, load)
				f.sendRequests(8*time.Second, times*load.rate, func() {})
				before, killed, next := f.refused, 0, f.now
				f.sendRequests(30*time.Second, times*load.rate, func() {
					if f.now >= next && size > 1 {
						f.members[killed%size].restart(down)
						killed++
						next = f.now + interval
					}
				})
				most := f.maxInWindow(load.bound.Window)
				t.Logf("%d taken, %d refused, %d unanswered; %d tokens in %v, %.0f allowed", len(f.taken), f.refused-before, f.unanswered, most, load.bound.Window, load.allowed())
				assert.Assert(t, float64(most) <= load.allowed(), "%d tokens in %v, %.0f allowed", most, load.bound.Window, load.allowed())
				if times < 1 {
					assert.Equal(t, f.refused-before, 0)
					assert.Equal(t, f.unanswered, 0)
				}
			})
		}
	}
}
