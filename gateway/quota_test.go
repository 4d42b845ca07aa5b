package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/decision/escrow"
	"github.com/cairnworks/cairnworks/fleet"
	"github.com/cairnworks/cairnworks/object"
)

// quotaFleet is a fleet whose instances are all hubs and reach each other without delay.
type quotaFleet struct {
	now     time.Duration
	asks    uint64
	members []*quotaMember
}

type quotaMember struct {
	*Quotas
	fleet *quotaFleet
	hub   fleet.Hub
	// unresponsive makes the instance ignore asks; suspects holds the instances it has found
	// unresponsive.
	unresponsive bool
	suspects     map[string]bool
}

func newQuotaFleet(n int) *quotaFleet {
	f := &quotaFleet{now: time.Second}
	index := object.NewIndex(testObjects(), 1)
	for i := range n {
		self := fleet.Member{Name: fmt.Sprint("i", i), Incarnation: 1}
		m := &quotaMember{fleet: f, hub: fleet.Hub{Name: self.Name, Run: fleet.RunOf(self.Name, 1)}, suspects: make(map[string]bool)}
		m.Quotas = NewQuotas(func() time.Duration { return f.now }, self, QuotaBound{Window: 8 * time.Second})
		m.Connect(m)
		m.SetLimits(index)
		f.members = append(f.members, m)
	}
	f.run(8 * time.Second)
	return f
}

// run advances the time while all instances report to each other.
func (f *quotaFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 100 * time.Millisecond {
		for _, from := range f.members {
			for _, to := range f.members {
				if from == to {
					continue
				}
				r := &fleet.Report{Instance: from.hub.Name, Incarnation: 1}
				from.FillReportFor(f.now, to.hub.Run, r)
				to.ApplyReport(f.now, r)
				back := &fleet.Report{Instance: to.hub.Name, Incarnation: 1}
				to.FillPollAnswer(back)
				from.ApplyReport(f.now, back)
			}
		}
	}
}

func (m *quotaMember) Hubs() []fleet.Hub {
	var out []fleet.Hub
	for _, other := range m.fleet.members {
		if !m.suspects[other.hub.Name] {
			out = append(out, other.hub)
		}
	}
	return out
}

func (m *quotaMember) Size() fleet.Size        { return fleet.SizeOf(len(m.fleet.members)) }
func (m *quotaMember) MarkSuspect(name string) { m.suspects[name] = true }

func (m *quotaMember) RequestTokens(_ context.Context, to string, a fleet.Ask) (fleet.Grant, error) {
	for _, other := range m.fleet.members {
		if other.hub.Name == to && !other.unresponsive {
			m.fleet.asks++
			a.ID = m.fleet.asks
			return other.HandleAsk(m.fleet.now, a), nil
		}
	}
	return fleet.Grant{}, errors.New("no answer")
}

// homeOf returns the member that is an organisation's home.
func (f *quotaFleet) homeOf(organisation string) *quotaMember {
	home, _ := f.members[0].homeOf(fleet.HashOf(organisation))
	for _, m := range f.members {
		if m.hub == home {
			return m
		}
	}
	return nil
}

// other returns a member that is not an organisation's home.
func (f *quotaFleet) other(organisation string) *quotaMember {
	for _, m := range f.members {
		if m != f.homeOf(organisation) {
			return m
		}
	}
	return nil
}

// Guards against refusing an organisation at one instance although the fleet has tokens left.
func TestAnyInstanceMaySpendRemainingQuota(t *testing.T) {
	f := newQuotaFleet(9)
	for _, m := range f.members {
		assert.Assert(t, m.Take(t.Context(), QuotaRequest{Organisation: "wide", Tokens: 100_000}).Admitted)
		f.now += time.Millisecond
	}
	f.now += time.Millisecond
	d := f.members[0].Take(t.Context(), QuotaRequest{Organisation: "wide", Tokens: 150_000})
	assert.Assert(t, !d.Admitted && !d.Unanswered && d.Retry > 0 && d.Part > 0.9, "%+v", d)
	assert.Equal(t, d.Home, f.homeOf("wide").hub.Name)
}

// Guards against small requests within the quota that each need a round trip to the home, or that are not charged
// there.
func TestSmallRequestsAreChargedAfterwards(t *testing.T) {
	f := newQuotaFleet(4)
	m, home := f.other("wide"), f.homeOf("wide")
	small := QuotaRequest{Organisation: "wide", Tokens: 10_000}
	home.unresponsive = true
	for range 100 {
		for range 2 {
			assert.Assert(t, m.Take(t.Context(), small).Admitted)
		}
		f.run(100 * time.Millisecond)
	}
	assert.Assert(t, len(m.suspects) == 0, "no home was asked")
	level := home.HandleAsk(f.now, fleet.Ask{ID: 1 << 32, Organisation: fleet.HashOf("wide")}).Level
	assert.Assert(t, home.HandleAsk(f.now, fleet.Ask{ID: 1 << 33, Organisation: fleet.HashOf("wide"), Tokens: int64(level)}).Granted)
	charged := 0
	for ; m.Take(t.Context(), small).Admitted; charged++ {
		assert.Assert(t, len(m.suspects) == 0)
	}
	assert.Assert(t, charged > 0 && m.suspects[home.hub.Name], "requests beyond the instance's share ask")
	clear(m.suspects)
	home.unresponsive = false
	f.run(100 * time.Millisecond)
	after := home.HandleAsk(f.now, fleet.Ask{ID: 1 << 34, Organisation: fleet.HashOf("wide")}).Level
	assert.Assert(t, after <= 200_000-float64(charged)*10_000, "%.0f tokens after %d requests", after, charged)
	d := m.Take(t.Context(), small)
	for d.Admitted {
		d = m.Take(t.Context(), small)
	}
	assert.Assert(t, !d.Unanswered && d.Level < 10_000, "the bucket is empty: %+v", d)
	asks := f.asks
	assert.Assert(t, !m.Take(t.Context(), small).Admitted, "the bucket was reported empty")
	assert.Assert(t, f.asks > asks)
	f.run(5 * time.Second)
	asks = f.asks
	assert.Assert(t, m.Take(t.Context(), small).Admitted)
	assert.Equal(t, f.asks, asks, "the bucket has tokens again")
}

// Guards against an organisation losing the tokens of requests that did not run.
func TestRefundReachesTheHome(t *testing.T) {
	f := newQuotaFleet(4)
	m := f.other("narrow")
	assert.Assert(t, m.Take(t.Context(), QuotaRequest{Organisation: "narrow", Tokens: 10}).Admitted)
	f.now++
	assert.Assert(t, !m.Take(t.Context(), QuotaRequest{Organisation: "narrow", Tokens: 9}).Admitted)
	m.Refund("narrow", 10)
	f.run(100 * time.Millisecond)
	assert.Assert(t, m.Take(t.Context(), QuotaRequest{Organisation: "narrow", Tokens: 9}).Admitted)
}

// Guards against refusing an organisation until its home is known to be dead.
func TestUnresponsiveQuotaHomeIsSkipped(t *testing.T) {
	f := newQuotaFleet(9)
	home, m := f.homeOf("wide"), f.other("wide")
	home.unresponsive = true
	d := m.Take(t.Context(), QuotaRequest{Organisation: "wide", Tokens: 50_000})
	assert.Assert(t, d.Unanswered && !d.Admitted, "%+v", d)
	assert.Assert(t, m.suspects[home.hub.Name])
	for _, other := range f.members {
		other.MarkSuspect(home.hub.Name)
	}
	f.run(time.Second)
	d = m.Take(t.Context(), QuotaRequest{Organisation: "wide", Tokens: 50_000})
	assert.Assert(t, d.Admitted && d.Home != home.hub.Name, "%+v", d)
}

// Guards against charging an ask twice that is repeated because its answer was lost.
func TestRepeatedAskTakesTokensOnce(t *testing.T) {
	f := newQuotaFleet(2)
	q, ask := f.homeOf("wide"), fleet.Ask{ID: 7, Organisation: fleet.HashOf("wide"), Tokens: 600_000}
	first := q.HandleAsk(f.now, ask)
	assert.Assert(t, first.Granted)
	assert.Equal(t, q.HandleAsk(f.now, ask), first)
	f.now += 3 * grantRetention
	q.Sweep(func(fleet.Run) bool { return false })
	assert.Equal(t, len(q.recentGrants), 0)
}

// Guards against bursts that, together with the tokens held by instances, exceed the bound within a
// window.
func TestWidenedBurstStaysWithinTheBound(t *testing.T) {
	for _, rate := range []float64{1_000, 12_000, 45_000, 330_000, 5_000_000} {
		b := QuotaBound{Window: 8 * time.Second, Over: 0.1, Slack: 73_000}
		limit := escrow.Limit{Rate: rate, Burst: rate}
		most := rate*b.Window.Seconds() + b.widen(limit).Burst + escrow.MaxCredit.Seconds()*rate
		bound := (rate*b.Window.Seconds()+limit.Burst)*(1+b.Over) + b.Slack
		assert.Assert(t, most <= bound, "%.0f of %.0f at a rate of %.0f", most, bound, rate)
	}
}
