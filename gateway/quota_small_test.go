package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// reportingFleet is a fleet in virtual time whose instances report at the intervals of the exchange: to all others in a
// small fleet, and to hubs that answer in a large one. Reports take a step to arrive.
type reportingFleet struct {
	now     time.Duration
	rng     *rand.Rand
	hubs    int
	members []*reportingMember
	asks    uint64
	taken   []restartGrant
	refused int
}

type reportingMember struct {
	*Quotas
	fleet *reportingFleet
	self  fleet.Hub
	// received are the reports that arrive in the next step.
	received []*fleet.Report
}

const (
	reportingStep    = 10 * time.Millisecond
	smallFleetReport = 200 * time.Millisecond
	largeFleetPoll   = 500 * time.Millisecond
	largeFleetHubs   = 8
	largestSmall     = 16
)

// smallLoad is the load of one organisation, all of whose requests are small.
type smallLoad struct {
	rate, burst float64
	bound       QuotaBound
	// tokens is the size of a request, and wait how long it waits for tokens.
	tokens int64
	wait   time.Duration
}

var smallLoads = map[string]smallLoad{
	"slack of several seconds": {rate: 14_400, burst: 28_800, bound: QuotaBound{Window: 8 * time.Second, Over: 0.1, Slack: 72_000}, tokens: 200},
	"no slack":                 {rate: 500_000, burst: 500_000, bound: QuotaBound{Window: 8 * time.Second, Over: 0.1}, tokens: 1000},
}

func (l smallLoad) allowed() float64 {
	return (l.rate*l.bound.Window.Seconds()+l.burst)*(1+l.bound.Over) + l.bound.Slack
}

func newReportingFleet(size int, load smallLoad) *reportingFleet {
	set := object.Set{
		Limits:        []object.Limit{{Name: "l", TokensPerSecond: int64(load.rate), Burst: int64(load.burst), CallTokens: 1}},
		Organisations: []object.Organisation{{Name: "small", Limit: "l"}},
	}
	f := &reportingFleet{now: time.Second, rng: rand.New(rand.NewPCG(1, 1)), hubs: size}
	if size > largestSmall {
		f.hubs = largeFleetHubs
	}
	for n := range size {
		self := fleet.Member{Name: fmt.Sprint("i", n), Incarnation: 1}
		m := &reportingMember{fleet: f, self: fleet.Hub{Name: self.Name, Run: fleet.RunOf(self.Name, 1)}}
		m.Quotas = NewQuotas(func() time.Duration { return f.now }, self, load.bound)
		m.Connect(m)
		m.SetLimits(object.NewIndex(set, 1))
		f.members = append(f.members, m)
	}
	f.run(7*time.Second, nil)
	return f
}

func (m *reportingMember) Size() fleet.Size   { return fleet.SizeOf(len(m.fleet.members)) }
func (m *reportingMember) MarkSuspect(string) {}

func (m *reportingMember) Hubs() (out []fleet.Hub) {
	for _, hub := range m.fleet.members[:m.fleet.hubs] {
		out = append(out, hub.self)
	}
	return out
}

func (m *reportingMember) RequestTokens(_ context.Context, to string, a fleet.Ask) (fleet.Grant, error) {
	for _, hub := range m.fleet.members[:m.fleet.hubs] {
		if hub.self.Name == to {
			m.fleet.asks++
			a.ID = m.fleet.asks
			return hub.HandleAsk(m.fleet.now, a), nil
		}
	}
	return fleet.Grant{}, errors.New("no answer")
}

// run advances the time. each, if set, is called in each step.
func (f *reportingFleet) run(d time.Duration, each func()) {
	for end := f.now + d; f.now < end; f.now += reportingStep {
		for _, m := range f.members {
			received := m.received
			m.received = nil
			for _, r := range received {
				m.ApplyReport(f.now, r)
				if r.Poll != nil {
					answer := m.report()
					m.FillPollAnswer(answer)
					f.member(r.Instance).received = append(f.member(r.Instance).received, answer)
				}
			}
		}
		for n, m := range f.members {
			m.send(n)
		}
		if each != nil {
			each()
		}
	}
}

func (m *reportingMember) report() *fleet.Report {
	return &fleet.Report{Instance: m.self.Name, Incarnation: 1}
}

// send sends the reports that are due of the nth instance.
func (m *reportingMember) send(n int) {
	f, interval := m.fleet, smallFleetReport
	if len(f.members) > largestSmall {
		interval = largeFleetPoll
	}
	offset := reportingStep * time.Duration(n*3)
	due := func(extra time.Duration) bool { return (f.now+offset+extra)%interval < reportingStep }
	common := m.report()
	if len(f.members) <= largestSmall {
		if !due(0) {
			return
		}
		m.FillReport(f.now, common)
	}
	for h, hub := range f.members[:f.hubs] {
		if hub == m {
			continue
		}
		r := *common
		if len(f.members) > largestSmall {
			// The polls of the different hubs are spread over the interval.
			if !due(interval * time.Duration(h) / largeFleetHubs) {
				continue
			}
			r.Poll = &fleet.Poll{}
		}
		m.FillReportFor(f.now, hub.self.Run, &r)
		hub.received = append(hub.received, &r)
	}
}

func (f *reportingFleet) member(name string) *reportingMember {
	for _, m := range f.members {
		if m.self.Name == name {
			return m
		}
	}
	return nil
}

// home returns the member that is the home of the organisation.
func (f *reportingFleet) home() *reportingMember {
	home, _ := f.members[0].homeOf(fleet.HashOf("small"))
	return f.member(home.Name)
}

// sendRequests sends requests for some tokens per second, each to the member that pick returns.
func (f *reportingFleet) sendRequests(d time.Duration, load smallLoad, perSecond float64, pick func() *reportingMember) {
	due := 0.0
	f.run(d, func() {
		for due += perSecond / float64(load.tokens) * reportingStep.Seconds(); due >= 1; due-- {
			if pick().Take(context.Background(), QuotaRequest{Organisation: "small", Tokens: load.tokens}).Admitted {
				f.taken = append(f.taken, restartGrant{f.now, load.tokens})
			} else {
				f.refused++
			}
		}
	})
}

// maxInWindow returns the maximum number of tokens taken within a window.
func (f *reportingFleet) maxInWindow(window time.Duration) (most int64) {
	sum, first := int64(0), 0
	for _, g := range f.taken {
		for sum += g.tokens; f.taken[first].at <= g.at-window; first++ {
			sum -= f.taken[first].tokens
		}
		most = max(most, sum)
	}
	return most
}

// arrivals are the ways in which requests are spread over the instances.
var arrivals = map[string]func(f *reportingFleet) *reportingMember{
	"evenly":       func(f *reportingFleet) *reportingMember { return f.members[f.rng.IntN(len(f.members))] },
	"at the home":  (*reportingFleet).home,
	"at one other": (*reportingFleet).otherThanHome,
}

func (f *reportingFleet) otherThanHome() *reportingMember {
	for _, m := range f.members {
		if m != f.home() {
			return m
		}
	}
	return nil
}

// forSmallLoads runs a test for each load, number of instances and way in which requests arrive.
func forSmallLoads(t *testing.T, test func(t *testing.T, f *reportingFleet, load smallLoad, arrival string)) {
	for name, load := range smallLoads {
		for _, size := range []int{1, 3, 16, 40, 300} {
			for arrival := range arrivals {
				if size == 1 && arrival != "at the home" || size == 300 && arrival != "evenly" {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d instances, %s", name, size, arrival), func(t *testing.T) {
					t.Parallel()
					f := newReportingFleet(size, load)
					test(t, f, load, arrival)
				})
			}
		}
	}
}

// Guards against small requests that pass an empty quota because they are charged without asking.
func TestSmallRequestsKeepToTheQuota(t *testing.T) {
	forSmallLoads(t, func(t *testing.T, f *reportingFleet, load smallLoad, arrival string) {
		pick := func() *reportingMember { return arrivals[arrival](f) }
		for _, times := range []float64{4, 0.5, 20, 1.5} {
			f.sendRequests(4*time.Second, load, times*load.rate, pick)
		}
		most := f.maxInWindow(load.bound.Window)
		t.Logf("%d tokens in %v, %.0f allowed; %d asks", most, load.bound.Window, load.allowed(), f.asks)
		assert.Assert(t, float64(most) <= load.allowed(), "%d tokens in %v, %.0f allowed", most, load.bound.Window, load.allowed())
		assert.Assert(t, float64(most) >= 0.9*(load.rate*load.bound.Window.Seconds()+load.burst), "%d tokens: requests within the quota were refused", most)
	})
}

// Guards against small requests within the quota that are refused, at a steady rate and in bursts, and against such
// requests that wait for an answer of the home although they arrive evenly and a share of the burst is several of them.
func TestSmallRequestsWithinTheQuotaAreServed(t *testing.T) {
	forSmallLoads(t, func(t *testing.T, f *reportingFleet, load smallLoad, arrival string) {
		pick := func() *reportingMember { return arrivals[arrival](f) }
		f.sendRequests(6*time.Second, load, 0.5*load.rate, pick)
		steady, steadyAsks := len(f.taken), f.asks
		t.Logf("%d requests, %d asks", steady, steadyAsks)
		f.sendRequests(6*time.Second, load, 0.95*load.rate, pick)
		for range 3 {
			f.sendRequests(200*time.Millisecond, load, 0.8*load.burst/0.2, pick)
			f.sendRequests(2*time.Second, load, 0.3*load.rate, pick)
		}
		assert.Equal(t, f.refused, 0)
		if len(f.members) <= largestSmall && arrival != "at one other" {
			assert.Equal(t, steadyAsks, uint64(0), "%d requests", steady)
		}
	})
}
