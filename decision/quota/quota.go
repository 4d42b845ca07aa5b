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
//     Its fair share, of the rate and of what is left, is set aside for it until it is
//     heard again. It then brings its part of what its own side has left. Two sides so
//     divide a bucket and join it again, and the sum is one bucket all the while. Were
//     each side to go on with the whole bucket, every cut would add what is in it,
//     which cuts in quick succession turn into several bursts in one window.
//
//   - An instance that cannot be sure that the others count its use spends its
//     fair share only: when a member that it hears says that it does not hear this
//     instance, or when a member that it does not hear is heard by another.
//
//   - An instance that hears nobody sets aside the shares of all others, which
//     leaves it its own.
//
//   - In a fleet whose reports are slowed down, what others will have spent and not told
//     yet stays set aside (untold).
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

import "time"

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
const reportFleet = 16

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
	// Level is what it and those that it hears have left, as a share of the burst, 0 to 1.
	Level map[string]float64
	Heard []Heard
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
		heard := l.heardShare(now)
		a = &account{at: now, level: start * heard, own: start / l.size(), heard: heard}
		if start < limit.Burst {
			// Others may just have spent all that they were allowed.
			a.pace = mostPace * limit.Rate
		}
		l.accounts[organisation] = a
	}
	l.refill(now, a)
	a.limit = limit
	a.level = min(a.level, limit.Burst)
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
		v.Limit, v.Level, v.Own = a.limit, a.level, a.own
	}
	return v
}
