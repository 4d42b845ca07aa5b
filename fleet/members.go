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

// Parameters of the list of instances.
const (
	// renewInterval is how often an instance renews its entry. Liveness is determined by the
	// reports between instances; the entry only has to cover an instance that is cut off from
	// the others but still serves requests.
	renewInterval = 4 * time.Second
	// renewTimeout is the timeout of one renewal.
	renewTimeout = 1500 * time.Millisecond
	// firstRenewRetry is the retry delay after the first write of the entry failed.
	firstRenewRetry = 200 * time.Millisecond
	// firstListTimeout is how long a starting instance waits for the list, which determines whether
	// it needs an entry.
	firstListTimeout = time.Second
	// skipEntryRecheck is how often an instance without an entry checks whether it needs one.
	skipEntryRecheck = time.Second
	// EntryTTL is how long an entry is valid without renewal. An instance that cannot reach the
	// store stops serving requests with a key before that, because it no longer knows which keys
	// are valid.
	EntryTTL = 12 * time.Second
	// replaceSilence is the silence after which a run is replaced by a run of the same name with a
	// lower incarnation. A live run reports several times within it.
	replaceSilence = 1500 * time.Millisecond
	// emptyListDelay is how long after first reading a list without other instances this instance
	// concludes that it is the only one. Instances that start together write their entries meanwhile.
	emptyListDelay = 1200 * time.Millisecond
	// maxUnlisted is the maximum number of instances that are known only by their reports. It is
	// higher than the number of instances that start at once in the largest fleet.
	maxUnlisted = 512
)

// Member is an instance of the fleet, as listed in the store or known by its reports.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"incarnation"`
	// Address is the UDP address for reports, as IP:port.
	Address string  `json:"address"`
	Machine Machine `json:"machine"`
	// Renewals is incremented with each renewal.
	Renewals uint64 `json:"beat"`
	// lastChanged is when this instance last saw the entry change or another instance list the run;
	// lastHeard is when its last report arrived.
	lastChanged, lastHeard time.Duration
	// listed means that the store has an entry for this run.
	listed bool
}

// lastSeen returns when there was last evidence that the run is alive.
func (m Member) lastSeen() time.Duration { return max(m.lastChanged, m.lastHeard) }

// NewIncarnation returns the incarnation of a run that starts now. It is higher than that of an
// earlier run unless the wall clock was set back in between. Two runs that start within the same
// millisecond differ in random bits.
func NewIncarnation(now time.Time) uint64 {
	return uint64(now.UnixMilli())<<incarnationRandomBits | rand.Uint64N(1<<incarnationRandomBits)
}

// incarnationRandomBits is the number of random bits in an incarnation.
const incarnationRandomBits = 20

// Members maintains the list of instances from the store. It implements follow.Handler.
type Members struct {
	self     Member
	log      port.KeyedLog
	logger   *zap.Logger
	onChange func([]Member)
	// SkipEntry reports whether this instance currently needs no entry; if nil, it always needs one.
	// ReadFirst means that the list is read before the first entry is written. Neither may be
	// changed once the list is in use.
	SkipEntry func() bool
	ReadFirst bool
	// RemovalLogger returns the function that logs removed instances; if nil, logger.Info is used.
	RemovalLogger func() func(string, ...zap.Field)

	mu               sync.Mutex
	others           map[string]Member
	storeUnavailable bool
	// firstRead is when the list was first read, or 0 before that.
	firstRead time.Duration
	// synced means that the members of the fleet are known.
	synced atomic.Bool
	// listRead is closed once the list has been read.
	listRead     chan struct{}
	listReadOnce sync.Once
	// left are the incarnations of the runs that have deleted their entries, by name. A copy of the store may still have
	// these.
	left map[string]uint64
	// renewNow makes Run renew the entry at once.
	renewNow chan struct{}
	// hasEntry means that this run has written an entry, first at entrySince.
	hasEntry   atomic.Bool
	entrySince time.Duration
	// asOf is the start of the latest read of the list.
	asOf time.Duration
	// fullLogged means that exceeding maxUnlisted has been logged.
	fullLogged bool
}

// NewMembers returns an empty list. changed is called with all other members after each change.
func NewMembers(self Member, log port.KeyedLog, logger *zap.Logger, changed func([]Member)) *Members {
	return &Members{self: self, log: log, logger: logger, onChange: changed, others: make(map[string]Member), left: make(map[string]uint64), renewNow: make(chan struct{}, 1), listRead: make(chan struct{})}
}

// Run maintains this instance's entry until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	if m.ReadFirst {
		m.wait(ctx, firstListTimeout, m.listRead)
	}
	for ctx.Err() == nil {
		m.wait(ctx, m.renew(ctx), m.renewNow)
	}
	return ctx.Err()
}

// RenewNow renews the entry at once, because the store may have lost it.
func (m *Members) RenewNow() {
	select {
	case m.renewNow <- struct{}{}:
	default:
	}
}

// renew renews the entry unless none is needed and returns the time until the next call.
func (m *Members) renew(ctx context.Context) time.Duration {
	if m.SkipEntry != nil && m.SkipEntry() {
		return skipEntryRecheck
	}
	if err := m.writeEntry(ctx); err != nil {
		m.logger.Warn("cannot renew own instance entry", zap.Error(err))
		if !m.hasEntry.Load() {
			return firstRenewRetry
		}
		return renewInterval
	}
	m.mu.Lock()
	if !m.hasEntry.Load() {
		m.entrySince = boottime.Now()
	}
	m.mu.Unlock()
	m.hasEntry.Store(true)
	return renewInterval
}

// AsOf returns the time as of which the list is known, or 0 unless this run was in it by then.
func (m *Members) AsOf() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasEntry.Load() || m.asOf < m.entrySince {
		return 0
	}
	return m.asOf
}

// wait waits for d, or until ctx ends or early is closed.
func (m *Members) wait(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-early:
	case <-timer.C:
	}
}

func (m *Members) writeEntry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	m.self.Renewals++
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	return m.log.Put(ctx, port.TopicInstances, m.self.Name, value)
}

// Leave deletes this instance's entry.
func (m *Members) Leave(ctx context.Context) {
	if !m.hasEntry.Load() {
		return
	}
	if err := m.log.Put(ctx, port.TopicInstances, m.self.Name, nil); err != nil {
		m.logger.Warn("cannot delete own instance entry; it will expire", zap.Error(err))
	}
}

// RecordReport records the sender of a report. Its entry may not have been read yet, and until then an
// instance that has just started would otherwise neither be counted nor receive reports.
func (m *Members) RecordReport(sender Member) {
	now := boottime.Now()
	m.mu.Lock()
	old, known := m.others[sender.Name]
	if known && old.Incarnation == sender.Incarnation {
		old.lastHeard = now
		m.others[sender.Name] = old
		m.mu.Unlock()
		return
	}
	m.addRun(now, sender, now)
}

// RecordMention records an instance that another instance lists as a hub.
func (m *Members) RecordMention(mentioned Member) {
	now := boottime.Now()
	m.mu.Lock()
	old, known := m.others[mentioned.Name]
	if known && old.Incarnation == mentioned.Incarnation {
		old.lastChanged = now
		m.others[mentioned.Name] = old
		m.mu.Unlock()
		return
	}
	m.addRun(now, mentioned, 0)
}

// addRun adds an unknown run. m.mu must be held; addRun releases it.
func (m *Members) addRun(now time.Duration, run Member, heard time.Duration) {
	old, known := m.others[run.Name]
	newer := !known || old.Incarnation == run.Incarnation || m.replaces(run.Incarnation, old, now)
	if run.Name == m.self.Name || !newer || !known && m.unlistedFull() {
		m.mu.Unlock()
		return
	}
	machine := run.Machine
	if machine == (Machine{}) {
		// Most answers do not contain the machine, and a new run usually is on the same one.
		machine = old.Machine
	}
	m.others[run.Name] = Member{Name: run.Name, Incarnation: run.Incarnation, Address: run.Address, Machine: machine, lastChanged: now, lastHeard: heard}
	list := m.list()
	m.mu.Unlock()
	m.onChange(list)
}

// Expire removes instances that have not been seen for longer than EntryTTL. An instance that receives
// no reports must not call it, because it would remove members that it may be able to reach again.
func (m *Members) Expire() {
	now := boottime.Now()
	m.mu.Lock()
	gone := m.dropSilent(now)
	list := m.list()
	m.mu.Unlock()
	if gone {
		m.onChange(list)
	}
}

// dropSilent removes instances that have expired and reports whether there were any. m.mu must be held.
func (m *Members) dropSilent(now time.Duration) (gone bool) {
	for name, member := range m.others {
		if silent := now - member.lastSeen(); silent > EntryTTL {
			delete(m.others, name)
			gone = true
			logChange := m.logger.Info
			if m.RemovalLogger != nil {
				logChange = m.RemovalLogger()
			}
			logChange("instance expired", zap.String("peer", name), zap.Duration("silent", silent))
		}
	}
	return gone
}

// replaces reports whether a run takes over an instance's name from the known run. A delayed datagram
// of an earlier run may arrive when the next run is already active. If it were accepted, all reports
// would go to the address of a process that has ended, and the active run would receive none.
// Incarnations decide, unless the wall clock was set back; then the known run is replaced once it has
// been silent for replaceSilence. m.mu must be held.
func (m *Members) replaces(incarnation uint64, old Member, now time.Duration) bool {
	return incarnation > old.Incarnation || now-old.lastSeen() > replaceSilence
}

// unlistedFull reports whether the maximum number of unlisted instances is reached. The limit prevents
// a sender of made-up names from exhausting memory. m.mu must be held.
func (m *Members) unlistedFull() bool {
	unlisted := 0
	for _, member := range m.others {
		if !member.listed {
			unlisted++
		}
	}
	if unlisted < maxUnlisted {
		return false
	}
	if !m.fullLogged {
		m.fullLogged = true
		m.logger.Error("too many unlisted instances; ignoring new ones", zap.Int("unlisted", unlisted))
	}
	return true
}

// IsCurrent reports whether a run is the current one of the named instance.
func (m *Members) IsCurrent(name string, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.others[name]
	return ok && known.Incarnation == incarnation
}

// list returns all other members. m.mu must be held.
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
		m.putEntry(record)
	}
	for name, member := range m.others {
		// A member that was never listed may be new, or the store may have rejected its entry. It is
		// known by its reports and expires without them.
		if member.listed && !named[name] {
			delete(m.others, name)
		}
	}
	m.mu.Unlock()
	return true
}

// Merge implements follow.Handler. Instances that the copy lacks write their entries again; until then they are known
// by their reports.
func (m *Members) Merge(records []port.KeyedRecord) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		var member Member
		if err := json.Unmarshal(record.Value, &member); err == nil && member.Incarnation <= m.left[record.Key] {
			continue
		}
		m.putEntry(record)
	}
	return true
}

// Add implements follow.Handler.
func (m *Members) Add(record port.KeyedRecord) bool {
	m.mu.Lock()
	m.putEntry(record)
	m.mu.Unlock()
	return true
}

// putEntry processes one entry. m.mu must be held.
func (m *Members) putEntry(record port.KeyedRecord) {
	if record.Key == m.self.Name {
		return
	}
	if record.Value == nil {
		m.left[record.Key] = max(m.left[record.Key], m.others[record.Key].Incarnation)
		delete(m.others, record.Key)
		return
	}
	var member Member
	if err := json.Unmarshal(record.Value, &member); err != nil {
		m.logger.Warn("invalid instance entry", zap.String("instance", record.Key), zap.Error(err))
		return
	}
	old, known := m.others[record.Key]
	if known && old.Incarnation == member.Incarnation && old.Renewals == member.Renewals {
		return
	}
	now := boottime.Now()
	if known && old.Incarnation != member.Incarnation && !m.replaces(member.Incarnation, old, now) {
		// The entry was left by the previous run.
		return
	}
	if known && old.Incarnation == member.Incarnation {
		member.lastHeard = old.lastHeard
	}
	member.Name, member.lastChanged, member.listed = record.Key, now, true
	m.others[record.Key] = member
}

// CaughtUp implements follow.Handler. Entries that have not been renewed within EntryTTL are removed.
func (m *Members) CaughtUp(asOf time.Duration) {
	now := boottime.Now()
	m.mu.Lock()
	m.asOf = max(m.asOf, asOf)
	for name, member := range m.others {
		if m.storeUnavailable {
			// No instance could renew its entry while the store was unavailable.
			member.lastChanged = now
			m.others[name] = member
		}
	}
	m.dropSilent(now)
	m.storeUnavailable = false
	m.updateSynced(now)
	list := m.list()
	m.mu.Unlock()
	m.onChange(list)
	m.listReadOnce.Do(func() { close(m.listRead) })
}

// updateSynced checks whether the members of the fleet are known now. m.mu must be held.
func (m *Members) updateSynced(now time.Duration) {
	if m.firstRead == 0 {
		m.firstRead = now
	}
	if len(m.others) > 0 || now-m.firstRead >= emptyListDelay {
		m.synced.Store(true)
	}
}

// HasSynced reports whether the members of the fleet are known. A list without other instances counts
// only once it has been read again: if all instances start together, the first to read it finds it empty.
func (m *Members) HasSynced() bool { return m.synced.Load() }

// ReadFailed implements follow.Handler.
func (m *Members) ReadFailed() {
	m.mu.Lock()
	m.storeUnavailable = true
	m.mu.Unlock()
}
