package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/hub"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// powerFleet is a large fleet in virtual time, whose instances start anew and read the list of
// instances some time after their start.
type powerFleet struct {
	now     time.Duration
	rng     *rand.Rand
	index   *object.Index
	hubs    int
	asks    uint64
	members []*powerMember
	grants  []powerGrant
}

type powerMember struct {
	*Quotas
	fleet *powerFleet
	self  fleet.Member
	// up is when it serves again, listed when it has read the list of instances, and told when the
	// hubs have told it of those whom the list does not name.
	up, listed, told time.Duration
}

type powerGrant struct {
	at     time.Duration
	tokens int64
}

const (
	powerStep   = 10 * time.Millisecond
	powerWindow = 8 * time.Second
	powerRate   = 150_000
	powerAsk    = 5_000
)

func newPowerFleet(instances, hubs int, seed uint64) *powerFleet {
	limits := object.Set{
		Limits:        []object.Limit{{Name: "l", TokensPerSecond: powerRate, Burst: powerRate, CallTokens: 1}},
		Organisations: []object.Organisation{{Name: "hot", Limit: "l"}},
	}
	f := &powerFleet{now: time.Second, rng: rand.New(rand.NewPCG(seed, 1)), index: object.NewIndex(limits, 1), hubs: hubs}
	for i := range instances {
		m := &powerMember{fleet: f, self: fleet.Member{Name: fmt.Sprint("i", i)}}
		f.members = append(f.members, m)
		m.start(0, 0)
	}
	return f
}

// start begins a run that is up after a time and has read the list of instances after another.
func (m *powerMember) start(up, listed time.Duration) {
	m.self.Incarnation++
	m.up, m.listed = m.fleet.now+up, m.fleet.now+up+listed
	m.told = m.listed
	m.Quotas = NewQuotas(func() time.Duration { return m.fleet.now }, m.self, QuotaBound{Window: powerWindow})
	m.Connect(m)
	m.SetLimits(m.fleet.index)
}

func (m *powerMember) hub() fleet.Hub {
	return fleet.Hub{Name: m.self.Name, Run: fleet.RunOf(m.self.Name, m.self.Incarnation)}
}

func (m *powerMember) Size() fleet.Size {
	switch {
	case m.fleet.now < m.listed:
		return fleet.Size{}
	case m.fleet.now < m.told:
		return fleet.SizeOf(m.fleet.hubs + 1)
	}
	return fleet.SizeOf(len(m.fleet.members))
}

func (m *powerMember) Hubs() []fleet.Hub {
	var out []fleet.Hub
	for _, other := range m.fleet.members[:m.fleet.hubs] {
		out = append(out, other.hub())
	}
	return out
}

func (m *powerMember) Suspect(string) {}

func (m *powerMember) Ask(_ context.Context, to string, a fleet.Ask) (fleet.Grant, error) {
	for _, other := range m.fleet.members {
		if other.self.Name == to && m.fleet.now >= other.up {
			m.fleet.asks++
			a.ID = m.fleet.asks
			return other.HandleAsk(m.fleet.now, a), nil
		}
	}
	return fleet.Grant{}, errors.New("no answer")
}

// run lets time pass, in which the organisation sends a number of times its rate.
func (f *powerFleet) run(d time.Duration, times float64) {
	chance := times * powerRate * powerStep.Seconds() / powerAsk
	for end := f.now + d; f.now < end; f.now += powerStep {
		f.report()
		for n := chance + f.rng.Float64(); n >= 1; n-- {
			f.ask(f.members[f.rng.IntN(len(f.members))])
		}
	}
}

// report lets the instances whose turn it is report to the hubs.
func (f *powerFleet) report() {
	const turns = int(500 * time.Millisecond / powerStep)
	turn := int(f.now/powerStep) % turns
	for i := turn; i < len(f.members); i += turns {
		from := f.members[i]
		if _, known := from.Size().Instances(); !known || f.now < from.up {
			continue
		}
		for _, to := range f.members[:f.hubs] {
			if to == from || f.now < to.up {
				continue
			}
			r := &fleet.Report{Instance: from.self.Name, Incarnation: from.self.Incarnation}
			from.FillReportFor(f.now, to.hub().Run, r)
			to.ApplyReport(f.now, r)
		}
	}
}

func (f *powerFleet) ask(m *powerMember) {
	if f.now < m.up {
		return
	}
	if m.Take(context.Background(), "hot", powerAsk, 0).Admitted {
		f.grants = append(f.grants, powerGrant{f.now, powerAsk})
	}
}

// most is the most that was granted in a window.
func (f *powerFleet) most() (most int64) {
	sum, first := int64(0), 0
	for _, g := range f.grants {
		sum += g.tokens
		for f.grants[first].at <= g.at-powerWindow {
			sum -= f.grants[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// granted is what was granted since a time.
func (f *powerFleet) granted(since time.Duration) (sum int64) {
	for _, g := range f.grants {
		if g.at >= since {
			sum += g.tokens
		}
	}
	return sum
}

// Guards against instances that start together and each spend the whole rate of an organisation,
// or hand on what they held of it, until they have read who else is in the fleet.
func TestFleetThatLosesPowerKeepsToTheRate(t *testing.T) {
	for _, c := range []struct {
		name string
		// share of the instances start anew.
		share float64
		// listed is the longest time until they have read the list.
		listed time.Duration
		// told is how long it takes after that to hear of those whom the list does not name.
		told time.Duration
	}{
		{"all", 1, 300 * time.Millisecond, 0},
		{"all, the store slow", 1, 3 * time.Second, 0},
		{"all, the store away", 1, 9 * time.Second, 0},
		{"a tenth", 0.1, 300 * time.Millisecond, 0},
		{"a tenth, the store slow", 0.1, 3 * time.Second, 0},
		{"all, the list names hubs only", 1, 300 * time.Millisecond, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPowerFleet(200, hub.Hubs, 7)
			f.run(12*time.Second, 3)
			for _, m := range f.members {
				if f.rng.Float64() < c.share {
					m.start(time.Duration(f.rng.Int64N(int64(time.Second))), time.Duration(f.rng.Int64N(int64(c.listed))))
					m.told += c.told
				}
			}
			f.run(14*time.Second, 3)
			allowed := int64(powerRate*powerWindow.Seconds() + powerRate)
			assert.Assert(t, f.most() <= allowed, "%d tokens in a window that allows %d", f.most(), allowed)
			// It gets its rate again once the list is read.
			since := f.now - 3*time.Second
			assert.Assert(t, f.granted(since) > 2*powerRate, "%d tokens in 3 s", f.granted(since))
		})
	}
}

// Guards against a fleet of one that never serves, and an instance that forgets its fleet's size.
func TestKnownFleetOfOneSpendsTheWholeRate(t *testing.T) {
	f := newPowerFleet(1, 1, 3)
	f.members[0].start(0, time.Second)
	assert.Assert(t, f.members[0].Take(t.Context(), "hot", 1, 0).Unanswered)
	f.run(10*time.Second, 2)
	assert.Assert(t, f.granted(0) >= 8*powerRate, "%d tokens in 10 s", f.granted(0))
}
