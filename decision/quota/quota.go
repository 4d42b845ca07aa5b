// Package quota holds the organisations' token rates over the whole fleet without
// a place that all requests must pass.
//
// Every instance tells the others how much it has admitted of each organisation's
// quota, and each takes what it hears off a bucket of its own. While all hear one
// another, every instance sees the whole fleet's use and any of them may spend all
// that is left.
//
// Load pattern: an organisation's requests arrive unevenly at the instances, since
// the balancer spreads connections by a hash, and one organisation at times sends
// several times its rate. Instances die, freeze and lose one another meanwhile.
//
// Without it: a fixed share on each instance refuses requests within the rate
// wherever more than that share arrives (with shares of a ninth, two of three
// long requests of an organisation that stays below its rate are refused;
// TestUnevenArrivals measures it), and no common count at all lets an organisation
// spend its rate once an instance.
//
// Rules:
//
//   - A member that is not heard for Silence may be at work behind a partition.
//     Its fair share, the rate and the burst divided by the members, is set aside for
//     it until it is heard again. Then the lower of both levels holds: what it has
//     spent meanwhile was spent while tokens flowed in that this instance took for
//     overflow, so that taking it off at once would count it twice.
//
//   - An instance that cannot be sure that the others count its use spends its
//     fair share only: when a member that it hears says that it does not hear this
//     instance, or when a member that it does not hear is heard by another.
//
//   - An instance that hears nobody sets aside the shares of all others, which
//     leaves it its own.
//
//   - What an instance has spent and not every member that it hears has confirmed to
//     have heard since is at most twice its share of the burst, or one request.
//
// Two groups of instances that hear nothing of each other so spend at most their
// members' shares each, and their sum is the rate. What can go wrong is bounded by
// Silence: within it after a cut, each instance may spend what is not yet confirmed.
//
// Grounds for the figures:
//   - Silence 700 ms: reports come at least every 200 ms and one in forty is lost
//     on a bad link; three lost in a row are one in 64,000. An organisation at six
//     times its rate sends some ten long requests in that time, which is what a
//     bound with a slack of five such requests and a tenth of the rate leaves.
//   - Fresher 500 ms: a member counts as heard by another when that one heard it
//     this much later than this instance did; twice the interval of reports and
//     their delay.
package quota

import (
	"slices"
	"time"
)

// Config holds the figures; see the package comment for their grounds.
type Config struct {
	Silence time.Duration
	Fresher time.Duration
}

// DefaultConfig returns the figures of the package comment.
func DefaultConfig() Config {
	return Config{Silence: 700 * time.Millisecond, Fresher: 500 * time.Millisecond}
}

// reportFleet is the number of instances up to which all report to one another at full
// pace. Reports from each to each grow with the square of the fleet: at 9 instances
// each sends and takes some 80 a second, at 62 it would be 600, more than a fifth of a
// core can do. Beyond, the pace falls so that an instance's reports stay the same.
const reportFleet = 12

// Stretch is by how much the times between reports, and those that follow from them,
// grow in a fleet of a number of instances.
func Stretch(instances int) float64 { return max(1, float64(instances)/reportFleet) }

// stretched returns a time of the configuration as it is in a fleet of this size.
func (l *Ledger) stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * Stretch(len(l.members)+1))
}

// Limit is an organisation's quota. A Rate of 0 means no limit.
type Limit struct {
	// Rate in tokens a second, Burst in tokens.
	Rate, Burst float64
}

// MemberID identifies one run of one instance.
type MemberID struct {
	Name        string
	Incarnation uint64
}

// Heard is when one instance last heard another.
type Heard struct {
	Member MemberID
	At     time.Duration
}

// Report is what an instance tells the others.
type Report struct {
	From MemberID
	// Spent is what it has admitted in its run, by organisation.
	Spent map[string]int64
	// Level is the share of the burst that it believes to be left, 0 to 1.
	Level map[string]float64
	Heard []Heard
}

// member is another instance of the fleet.
type member struct {
	id MemberID
	// heard is when its last report arrived; ever tells whether one did.
	heard time.Duration
	ever  bool
	// hears is when the member last heard this instance, in this instance's time.
	hears time.Duration
	// others is when it last heard other members.
	others map[MemberID]time.Duration
	// spent by organisation, as last told.
	spent map[string]int64
	// listed tells that the member stands in the store's list.
	listed bool
}

// account is an organisation's quota as this instance sees it.
type account struct {
	limit Limit
	// level is what the whole fleet may still spend at once, tight the same without the
	// shares of members that are not heard, and own what this instance may spend while
	// it is restricted to its share.
	level, tight, own float64
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

// Ledger counts the use of all organisations. It is not safe for concurrent use.
// Times are of a clock that counts through suspensions.
type Ledger struct {
	cfg      Config
	self     MemberID
	members  map[MemberID]*member
	accounts map[string]*account
	// initial is the share of a full burst that an account starts with.
	initial func(Limit) float64
	started time.Duration
}

// New returns a ledger that knows no other member. initial gives the tokens that
// an account starts with where no other instance tells how much is left.
func New(cfg Config, self MemberID, now time.Duration, initial func(Limit) float64) *Ledger {
	return &Ledger{cfg: cfg, self: self, members: make(map[MemberID]*member), accounts: make(map[string]*account), initial: initial, started: now}
}

// SetLimit sets an organisation's quota. What is left stays, cut to the new burst:
// a change creates no tokens.
func (l *Ledger) SetLimit(now time.Duration, organisation string, limit Limit) {
	a, known := l.accounts[organisation]
	if !known {
		start := min(l.initial(limit), limit.Burst)
		a = &account{at: now, level: start, tight: start, own: start / l.size()}
		l.accounts[organisation] = a
	}
	l.refill(now, a)
	a.limit = limit
	a.level = min(a.level, limit.Burst)
	a.tight = min(a.tight, limit.Burst)
	a.own = min(a.own, limit.Burst/l.size())
}

// KeepOnly forgets organisations that are not named.
func (l *Ledger) KeepOnly(names map[string]bool) {
	for name := range l.accounts {
		if !names[name] {
			delete(l.accounts, name)
		}
	}
}

// SetMembers names the instances that the store lists, this one not among them.
// Only the newest run of a name is a member.
func (l *Ledger) SetMembers(now time.Duration, ids []MemberID) {
	listed := make(map[MemberID]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
		m := l.member(now, id)
		m.listed = true
	}
	for id := range l.members {
		if !listed[id] {
			delete(l.members, id)
		}
	}
}

// member returns a member, new ones with the time from which they count as silent.
func (l *Ledger) member(now time.Duration, id MemberID) *member {
	m, known := l.members[id]
	if !known {
		m = &member{id: id, heard: now, hears: now, others: make(map[MemberID]time.Duration), spent: make(map[string]int64)}
		l.members[id] = m
	}
	return m
}

// size is the number of instances, this one included.
func (l *Ledger) size() float64 { return float64(len(l.members) + 1) }

// Hear takes in a report that arrived now.
func (l *Ledger) Hear(now time.Duration, r Report) {
	for _, a := range l.accounts {
		l.refill(now, a)
	}
	m := l.member(now, r.From)
	lost := l.silent(now, m)
	m.heard, m.ever = now, true
	for _, h := range r.Heard {
		if h.Member == l.self {
			m.hears = h.At
			continue
		}
		m.others[h.Member] = h.At
	}
	for name, total := range r.Spent {
		l.settle(m, name, total, lost)
	}
	if lost || now-l.started <= learning {
		l.adopt(r)
	}
}

// settle takes a member's use off the bucket. What a member has spent while it was not
// heard is part of the level that is adopted.
func (l *Ledger) settle(m *member, name string, total int64, lost bool) {
	a, known := l.accounts[name]
	before, told := m.spent[name]
	m.spent[name] = total
	if !known || lost || !told {
		return
	}
	spent := float64(total - before)
	a.level = min(a.level-spent, a.limit.Burst)
	a.tight = min(a.tight-spent, a.limit.Burst)
}

// learning is how long after its start an instance takes over what others know of the
// use before it.
const learning = 2 * time.Second

// adopt takes over the level that a member tells, if it is lower.
func (l *Ledger) adopt(r Report) {
	for name, share := range r.Level {
		if a, known := l.accounts[name]; known {
			a.level = min(a.level, share*a.limit.Burst)
			a.tight = min(a.tight, a.level)
		}
	}
}

// silent reports whether a member has not been heard for a while.
func (l *Ledger) silent(now time.Duration, m *member) bool {
	return !m.ever || now-m.heard > l.stretched(l.cfg.Silence)
}

// Audible lists the members that are heard.
func (l *Ledger) Audible(now time.Duration) []MemberID {
	var out []MemberID
	for id, m := range l.members {
		if !l.silent(now, m) {
			out = append(out, id)
		}
	}
	return out
}

// strayShare is the part of the members whose word alone restricts nobody: in a large
// fleet there is always one that is slow. What they spend unseen is their share of the
// requests.
const strayShare = 0.05

// strays is how many members may differ from the others.
func (l *Ledger) strays() int { return int(strayShare * l.size()) }

// Restricted reports whether this instance may spend its fair share only, since
// others may not count what it spends.
func (l *Ledger) Restricted(now time.Duration) bool {
	count := 0
	for _, m := range l.members {
		unheard := false
		if l.silent(now, m) {
			unheard = l.heardElsewhere(now, m)
		} else {
			unheard = now-m.hears > l.stretched(l.cfg.Silence)
		}
		if unheard {
			count++
		}
	}
	return count > l.strays()
}

// heardElsewhere reports whether a member that is silent here is heard by another
// one that is heard here.
func (l *Ledger) heardElsewhere(now time.Duration, silent *member) bool {
	for _, m := range l.members {
		if m == silent || l.silent(now, m) {
			continue
		}
		at, told := m.others[silent.id]
		if !told || now-at > l.stretched(l.cfg.Silence) {
			continue
		}
		if !silent.ever || at-silent.heard > l.stretched(l.cfg.Fresher) {
			return true
		}
	}
	return false
}

// refill adds what has flowed in since the last time.
func (l *Ledger) refill(now time.Duration, a *account) {
	elapsed := (now - a.at).Seconds()
	if elapsed <= 0 {
		return
	}
	a.at = now
	flow := elapsed * a.limit.Rate
	a.level = min(a.level+flow, a.limit.Burst)
	a.own = min(a.own+flow/l.size(), a.limit.Burst/l.size())
	heard := l.heardShare(now)
	if heard == 1 {
		a.tight = a.level
		return
	}
	a.tight = min(a.tight+flow*heard, a.limit.Burst*heard, a.level)
}

// heardShare is the part of the instances that are heard, this one included.
func (l *Ledger) heardShare(now time.Duration) float64 {
	silent := 0.0
	for _, m := range l.members {
		if l.silent(now, m) {
			silent++
		}
	}
	return (l.size() - silent) / l.size()
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
	have, rate := a.tight, a.limit.Rate
	if l.Restricted(now) {
		most = a.limit.Burst / l.size()
		have, rate = min(a.tight, a.own), a.limit.Rate/l.size()
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
	a.tight -= need
	a.own -= need
	a.spent += tokens
	a.recent = append(a.recent, admission{now, need})
	return Decision{Admitted: true}
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
	a.tight = min(a.tight+float64(tokens), a.level)
	a.own = min(a.own+float64(tokens), a.limit.Burst/l.size())
	a.spent -= tokens
}

// Report returns what to tell the others.
func (l *Ledger) Report(now time.Duration) Report {
	r := Report{From: l.self, Spent: make(map[string]int64, len(l.accounts)), Level: make(map[string]float64, len(l.accounts))}
	for name, a := range l.accounts {
		l.refill(now, a)
		r.Spent[name] = a.spent
		if a.limit.Burst > 0 {
			r.Level[name] = max(a.level, 0) / a.limit.Burst
		}
	}
	for id, m := range l.members {
		if m.ever {
			r.Heard = append(r.Heard, Heard{Member: id, At: m.heard})
		}
	}
	return r
}

// View is what a decision for an organisation rests on.
type View struct {
	Limit Limit
	// Level and Own are the tokens that the fleet, and this instance while it is
	// restricted, may spend at once.
	Level, Own float64
	// Members is the number of instances, this one included, Silent of them unheard.
	Members, Silent int
	Restricted      bool
}

// View returns what a decision for an organisation rests on now.
func (l *Ledger) View(now time.Duration, organisation string) View {
	v := View{Members: len(l.members) + 1, Restricted: l.Restricted(now)}
	for _, m := range l.members {
		if l.silent(now, m) {
			v.Silent++
		}
	}
	if a, known := l.accounts[organisation]; known {
		l.refill(now, a)
		v.Limit, v.Level, v.Own = a.limit, a.tight, a.own
	}
	return v
}
