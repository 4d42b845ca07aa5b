package fleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/port"
)

// Figures of the list of instances.
const (
	// beatInterval is how often an instance renews its entry. The reports between
	// instances tell who lives; the entry only has to outlast an instance that is
	// cut off from the others and still at work.
	beatInterval = 4 * time.Second
	// beatTimeout bounds one renewal.
	beatTimeout = 1500 * time.Millisecond
	// firstBeatRetry is the pause after a first entry that failed.
	firstBeatRetry = 200 * time.Millisecond
	// firstList is how long an instance that starts waits for the list, which tells whether
	// it needs an entry.
	firstList = time.Second
	// unlistedLook is how often an instance without an entry looks whether it needs one.
	unlistedLook = time.Second
	// Lapse is how long an entry holds that is not renewed. An instance that cannot
	// reach the store stops serving requests with a key before that, since it no
	// longer knows which keys hold.
	Lapse = 12 * time.Second
	// replacedAfter is the silence after which a run gives its name up to one with a lower
	// incarnation. One that lives reports several times within it.
	replacedAfter = 1500 * time.Millisecond
	// aloneAfter is how long after the first read of a list without others an instance takes
	// itself for the only one: those that start together write their entries meanwhile.
	aloneAfter = 1200 * time.Millisecond
	// maxUnlisted bounds the instances that are known by their reports only. It is above
	// what starts at once in the largest fleet.
	maxUnlisted = 512
)

// Member is an instance that the store lists.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"incarnation"`
	// Address for reports, IP:port over UDP.
	Address string  `json:"address"`
	Machine Machine `json:"machine"`
	// Beat grows with each renewal.
	Beat uint64 `json:"beat"`
	// changed is when this instance saw the entry change, heard when the last report came.
	changed, heard time.Duration
	// listed tells that an entry in the store names this run.
	listed bool
}

// seen is when the run last gave a sign of life.
func (m Member) seen() time.Duration { return max(m.changed, m.heard) }

// NewIncarnation returns the incarnation of a run that starts now. A later run's is higher,
// unless the time of day was set back meanwhile; two runs of one millisecond differ.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationNoise | rand.Uint64N(1<<incarnationNoise)
}

// incarnationNoise is the number of random bits in an incarnation.
const incarnationNoise = 20

// Members keeps the list of instances from the store. It implements follow.Handler.
type Members struct {
	self    Member
	log     port.KeyedLog
	logger  *zap.Logger
	changed func([]Member)
	// Unlisted reports whether this instance needs no entry now; nil means that it always does.
	// ReadFirst tells that the list is read before the first entry is written. Neither may be
	// changed once the list is in use.
	Unlisted  func() bool
	ReadFirst bool
	// Informs returns what tells of instances that are gone; nil means the logger.
	Informs func() func(string, ...zap.Field)

	mu     sync.Mutex
	others map[string]Member
	lost   bool
	// firstRead is when the list was first read, 0 before.
	firstRead time.Duration
	// settled tells that the list says who is in the fleet.
	settled atomic.Bool
	// read is closed once the list has been read.
	read     chan struct{}
	readOnce sync.Once
	// written tells that this run has an entry.
	written atomic.Bool
	// warned tells that it was logged that too many instances are not listed.
	warned bool
}

// NewMembers returns a list that holds nobody. changed is called with all other
// members after each change.
func NewMembers(self Member, log port.KeyedLog, logger *zap.Logger, changed func([]Member)) *Members {
	return &Members{self: self, log: log, logger: logger, changed: changed, others: make(map[string]Member), read: make(chan struct{})}
}

// Run keeps this instance's entry until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	if m.ReadFirst {
		m.await(ctx, firstList, m.read)
	}
	for ctx.Err() == nil {
		m.await(ctx, m.renew(ctx), nil)
	}
	return ctx.Err()
}

// renew renews the entry, if there is to be one, and returns the time until the next look.
func (m *Members) renew(ctx context.Context) time.Duration {
	if m.Unlisted != nil && m.Unlisted() {
		return unlistedLook
	}
	if err := m.beat(ctx); err != nil {
		m.logger.Warn("entry not renewed", zap.Error(err))
		if !m.written.Load() {
			return firstBeatRetry
		}
		return beatInterval
	}
	m.written.Store(true)
	return beatInterval
}

// await waits for a time, or until something has happened.
func (m *Members) await(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}

func (m *Members) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	m.self.Beat++
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	return m.log.Put(ctx, port.TopicInstances, m.self.Name, value)
}

// Leave drops this instance's entry.
func (m *Members) Leave(ctx context.Context) {
	if !m.written.Load() {
		return
	}
	if err := m.log.Put(ctx, port.TopicInstances, m.self.Name, nil); err != nil {
		m.logger.Warn("entry not dropped; it lapses", zap.Error(err))
	}
}

// Introduce takes in an instance that reports before its entry was read here. Until
// the next read an instance that has just started would otherwise neither be counted
// nor told of anything.
func (m *Members) Introduce(sender Member) {
	now := boottime.Now()
	m.mu.Lock()
	old, known := m.others[sender.Name]
	if known && old.Incarnation == sender.Incarnation {
		old.heard = now
		m.others[sender.Name] = old
		m.mu.Unlock()
		return
	}
	m.takeIn(now, sender, now)
}

// Vouch takes in an instance that another hears.
func (m *Members) Vouch(named Member) {
	now := boottime.Now()
	m.mu.Lock()
	old, known := m.others[named.Name]
	if known && old.Incarnation == named.Incarnation {
		old.changed = now
		m.others[named.Name] = old
		m.mu.Unlock()
		return
	}
	m.takeIn(now, named, 0)
}

// takeIn takes in a run that is not known and releases the lock, which is held.
func (m *Members) takeIn(now time.Duration, run Member, heard time.Duration) {
	old, known := m.others[run.Name]
	newer := !known || old.Incarnation == run.Incarnation || m.replaces(run.Incarnation, old, now)
	if run.Name == m.self.Name || !newer || !known && m.full() {
		m.mu.Unlock()
		return
	}
	machine := run.Machine
	if machine == (Machine{}) {
		// Most answers do not tell it, and a run under the same name mostly is on the same one.
		machine = old.Machine
	}
	m.others[run.Name] = Member{Name: run.Name, Incarnation: run.Incarnation, Address: run.Address, Machine: machine, changed: now, heard: heard}
	list := m.list()
	m.mu.Unlock()
	m.changed(list)
}

// Expire drops instances that have given no sign of life for long. An instance that hears
// nobody must not call it: it would drop all whom it may still reach.
func (m *Members) Expire() {
	now := boottime.Now()
	m.mu.Lock()
	gone := m.drop(now)
	list := m.list()
	m.mu.Unlock()
	if gone {
		m.changed(list)
	}
}

// drop drops instances that are gone and reports whether there were any; the lock is held.
func (m *Members) drop(now time.Duration) (gone bool) {
	for name, member := range m.others {
		if silent := now - member.seen(); silent > Lapse {
			delete(m.others, name)
			gone = true
			tell := m.logger.Info
			if m.Informs != nil {
				tell = m.Informs()
			}
			tell("instance gone", zap.String("peer", name), zap.Duration("silent", silent))
		}
	}
	return gone
}

// replaces reports whether a run takes over an instance's name from the one that is known. A
// datagram of an earlier run may arrive late, when the next run works already: taken in, it
// would turn all reports to the address of a process that is gone, and the instance that
// works would hear nothing of its fleet. The time of day decides between the two unless it was
// set back, and then the silence of the run that ended does; the lock is held.
func (m *Members) replaces(incarnation uint64, old Member, now time.Duration) bool {
	return incarnation > old.Incarnation || now-old.seen() > replacedAfter
}

// full reports whether as many instances are known by their reports only as may be, so that
// no sender of made-up names fills the memory; the lock is held.
func (m *Members) full() bool {
	unlisted := 0
	for _, member := range m.others {
		if !member.listed {
			unlisted++
		}
	}
	if unlisted < maxUnlisted {
		return false
	}
	if !m.warned {
		m.warned = true
		m.logger.Error("too many instances that the store does not list", zap.Int("unlisted", unlisted))
	}
	return true
}

// Current reports whether a run is the one that holds an instance's name.
func (m *Members) Current(name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.others[name]
	return ok && known.Incarnation == incarnation
}

// list returns all other members; the lock is held.
func (m *Members) list() []Member {
	list := make([]Member, 0, len(m.others))
	for _, member := range m.others {
		list = append(list, member)
	}
	return list
}

// Replace implements follow.Handler.
func (m *Members) Replace(records []port.KeyedRecord) bool {
	m.mu.Lock()
	named := make(map[string]bool, len(records))
	for _, record := range records {
		named[record.Key] = true
		m.put(record)
	}
	for name, member := range m.others {
		// One that was never listed may be new, or turned away by the store: it is known by
		// its reports, and lapses without them.
		if member.listed && !named[name] {
			delete(m.others, name)
		}
	}
	m.mu.Unlock()
	return true
}

// Add implements follow.Handler.
func (m *Members) Add(record port.KeyedRecord) bool {
	m.mu.Lock()
	m.put(record)
	m.mu.Unlock()
	return true
}

// put takes in one entry; the lock is held.
func (m *Members) put(record port.KeyedRecord) {
	if record.Key == m.self.Name {
		return
	}
	if record.Value == nil {
		delete(m.others, record.Key)
		return
	}
	var member Member
	if err := json.Unmarshal(record.Value, &member); err != nil {
		m.logger.Warn("unreadable entry of an instance", zap.String("instance", record.Key), zap.Error(err))
		return
	}
	old, known := m.others[record.Key]
	if known && old.Incarnation == member.Incarnation && old.Beat == member.Beat {
		return
	}
	now := boottime.Now()
	if known && old.Incarnation != member.Incarnation && !m.replaces(member.Incarnation, old, now) {
		// The entry is one that the run before has left.
		return
	}
	if known && old.Incarnation == member.Incarnation {
		member.heard = old.heard
	}
	member.Name, member.changed, member.listed = record.Key, now, true
	m.others[record.Key] = member
}

// CaughtUp implements follow.Handler: entries that were not renewed for long lapse.
func (m *Members) CaughtUp(time.Duration) {
	now := boottime.Now()
	m.mu.Lock()
	for name, member := range m.others {
		if m.lost {
			// Nobody could renew an entry while the store was away.
			member.changed = now
			m.others[name] = member
		}
	}
	m.drop(now)
	m.lost = false
	m.settle(now)
	list := m.list()
	m.mu.Unlock()
	m.changed(list)
	m.readOnce.Do(func() { close(m.read) })
}

// settle notes whether the list says who is in the fleet; the lock is held.
func (m *Members) settle(now time.Duration) {
	if m.firstRead == 0 {
		m.firstRead = now
	}
	if len(m.others) > 0 || now-m.firstRead >= aloneAfter {
		m.settled.Store(true)
	}
}

// Settled reports whether it is known who is in the fleet. A list that names nobody else counts
// only once it has been read again: where all start together, the first to read it finds it empty.
func (m *Members) Settled() bool { return m.settled.Load() }

// ReadFailed implements follow.Handler.
func (m *Members) ReadFailed() {
	m.mu.Lock()
	m.lost = true
	m.mu.Unlock()
}
