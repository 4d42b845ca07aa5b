package quota

import (
	"math"
	"slices"
	"time"
)

// account is an organisation's quota as this instance sees it.
type account struct {
	limit Limit
	// level is what this instance and those that it hears may still spend at once, own
	// what it may spend while it is restricted to its share.
	level, own float64
	// heard is the part of the instances that the level is for.
	heard float64
	// pace is at what tokens a second all are known to have spent lately.
	pace float64
	// spent is what this instance has admitted since it started.
	spent int64
	at    time.Duration
	// recent are this instance's admissions of the last moments, oldest first.
	recent []admission
}

// admission is a request that this instance admitted.
type admission struct {
	at     time.Duration
	tokens float64
}

// refill adds what has flowed in since the last time.
func (l *Ledger) refill(now time.Duration, a *account) {
	elapsed := (now - a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.pace *= math.Exp(-elapsed / paceTime.Seconds())
	flow := elapsed * a.limit.Rate
	a.own = min(a.own+flow/l.size(), a.limit.Burst/l.size())
	heard := l.heardShare(now)
	if heard < a.heard && a.level > 0 {
		a.level *= heard / a.heard
	}
	a.heard = heard
	a.level = min(a.level+flow*heard, a.limit.Burst*heard)
}

// Decision is the answer to a request for tokens.
type Decision struct {
	Admitted bool
	// Retry is the time until there are enough tokens, if nobody else takes them.
	Retry time.Duration
	// Unconfirmed tells that there are enough, and that others have yet to confirm what
	// this instance spent before. That takes a moment.
	Unconfirmed bool
}

// Admit takes tokens of an organisation's quota, all or none. An organisation that is
// not known is refused: its quota is not known either.
func (l *Ledger) Admit(now time.Duration, organisation string, tokens int64) Decision {
	a, known := l.accounts[organisation]
	if !known {
		return Decision{Retry: unknownRetry}
	}
	l.refill(now, a)
	if a.limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	need := float64(tokens)
	most := a.limit.Burst * l.heardShare(now)
	have, rate := a.level-l.untold(a), a.limit.Rate
	if l.Restricted(now) {
		most = a.limit.Burst / l.size()
		have, rate = min(have, a.own), a.limit.Rate/l.size()
	}
	// A request larger than the whole burst passes when the bucket is full, since
	// it could never pass otherwise.
	if have < min(need, most) {
		return Decision{Retry: time.Duration((min(need, most) - have) / rate * float64(time.Second))}
	}
	if open := l.unconfirmed(now, a); open > 0 && need > smallShare*a.limit.Burst && open+need > l.unconfirmedMost(a) {
		return Decision{Retry: confirmTime, Unconfirmed: true}
	}
	a.level -= need
	a.own -= need
	a.pace += need / paceTime.Seconds()
	a.spent += tokens
	a.recent = append(a.recent, admission{now, need})
	return Decision{Admitted: true}
}

// Figures of what others have spent and not told yet.
const (
	// paceTime is over what time the pace of spending is taken: some reports of a large
	// fleet.
	paceTime = 2 * time.Second
	// reportAge is the mean age of what others have told at full pace of reports.
	reportAge = 100 * time.Millisecond
	// mostPace bounds the pace, in rates: nothing is admitted faster for long.
	mostPace = 1.5
)

// untold is what others will have spent that their reports do not tell yet, by the pace of
// the last seconds. In a large fleet reports are a second apart, and an organisation that
// sends many times its rate to all instances at once is admitted by each of them from the
// same tokens. What was so admitted too much is owed, but a mass restart forgets debts: at
// 72 instances 26 % over the limit were admitted in a window across one. Small fleets need
// none: reports follow each admission within milliseconds.
func (l *Ledger) untold(a *account) float64 {
	stretch := Stretch(len(l.members) + 1)
	if stretch <= 1 {
		return 0
	}
	return min(a.pace, mostPace*a.limit.Rate) * stretch * reportAge.Seconds()
}

// unknownRetry is when to ask again for an organisation that is not known yet.
const unknownRetry = time.Second

// Figures of what is not confirmed.
const (
	// unconfirmedShares is how many fair shares of the burst an instance may have spent
	// that others have not confirmed to know.
	unconfirmedShares = 2
	// smallShare is the part of the burst up to which a request does not wait for
	// confirmations: what such requests add up to before reports tell of them is little.
	smallShare = 0.02
	// confirmTime is when a confirmation that is missing will have come.
	confirmTime = 200 * time.Millisecond
	// reportTime is the time from an admission until the report that tells of it has
	// been sent and heard. A report that was on its way already does not tell of it.
	reportTime = 25 * time.Millisecond
)

// unconfirmedMost is what this instance may have spent without confirmation. Reports
// of a large fleet are slow, while few of its instances get a request of the same
// organisation between two of them.
func (l *Ledger) unconfirmedMost(a *account) float64 {
	stretch := Stretch(len(l.members) + 1)
	return unconfirmedShares * stretch * stretch * a.limit.Burst / l.size()
}

// unconfirmed is what this instance has admitted and not every member that it hears
// has told to have heard since.
func (l *Ledger) unconfirmed(now time.Duration, a *account) float64 {
	confirmed := now
	var heard []time.Duration
	for _, m := range l.members {
		if !l.silent(now, m) {
			heard = append(heard, m.hears-reportTime)
		}
	}
	slices.Sort(heard)
	if len(heard) > l.strays() {
		confirmed = min(confirmed, heard[l.strays()])
	}
	open := 0.0
	kept := a.recent[:0]
	for _, r := range a.recent {
		if r.at > confirmed {
			open += r.tokens
			kept = append(kept, r)
		}
	}
	a.recent = kept
	return open
}

// Refund gives back tokens of a request that did not run.
func (l *Ledger) Refund(now time.Duration, organisation string, tokens int64) {
	a, known := l.accounts[organisation]
	if !known || a.limit.Rate <= 0 {
		return
	}
	l.refill(now, a)
	a.level = min(a.level+float64(tokens), a.limit.Burst)
	a.own = min(a.own+float64(tokens), a.limit.Burst/l.size())
	a.spent -= tokens
}
