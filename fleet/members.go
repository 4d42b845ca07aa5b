package fleet

import (
	"context"
	"encoding/json"
	"sync"
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
	// firstBeatRetry is the pause after a failed first entry.
	firstBeatRetry = 200 * time.Millisecond
	// Lapse is how long an entry holds that is not renewed. An instance that cannot
	// reach the store stops serving requests with a key before that, since it no
	// longer knows which keys hold.
	Lapse = 12 * time.Second
)

// Member is an instance that the store lists.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"incarnation"`
	// Address for reports, IP:port over UDP.
	Address string `json:"address"`
	// Beat grows with each renewal.
	Beat uint64 `json:"beat"`
	// changed is when this instance saw the entry change.
	changed time.Duration
}

// Members keeps the list of instances from the store. It implements follow.Reader.
type Members struct {
	self    Member
	log     port.KeyedLog
	logger  *zap.Logger
	changed func([]Member)
	// Slow multiplies the times of entries, if set: all instances' renewals together are
	// bounded by what the store bears and each is paid for. It must not be changed once
	// the list is in use.
	Slow func() float64

	mu     sync.Mutex
	others map[string]Member
	lost   bool
}

// NewMembers returns a list that holds nobody. changed is called with all other
// members after each change.
func NewMembers(self Member, log port.KeyedLog, logger *zap.Logger, changed func([]Member)) *Members {
	return &Members{self: self, log: log, logger: logger, changed: changed, others: make(map[string]Member)}
}

// Run keeps this instance's entry until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	pause := firstBeatRetry
	for ctx.Err() == nil {
		if err := m.beat(ctx); err != nil {
			m.logger.Warn("entry not renewed", zap.Error(err))
		} else {
			pause = m.slowed(beatInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// slowed returns a time of entries as it is in a fleet of this size.
func (m *Members) slowed(d time.Duration) time.Duration {
	if m.Slow == nil {
		return d
	}
	return scaled(d, m.Slow())
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
	if err := m.log.Put(ctx, port.TopicInstances, m.self.Name, nil); err != nil {
		m.logger.Warn("entry not dropped; it lapses", zap.Error(err))
	}
}

// Introduce takes in an instance that reports before its entry was read here. Until
// the next read an instance that has just started would otherwise neither be counted
// nor told of anything.
func (m *Members) Introduce(name string, incarnation uint64, address string) {
	m.mu.Lock()
	old, known := m.others[name]
	if name == m.self.Name || known && old.Incarnation == incarnation {
		m.mu.Unlock()
		return
	}
	m.others[name] = Member{Name: name, Incarnation: incarnation, Address: address, changed: boottime.Now()}
	list := m.list()
	m.mu.Unlock()
	m.changed(list)
}

// list returns all other members; the lock is held.
func (m *Members) list() []Member {
	list := make([]Member, 0, len(m.others))
	for _, member := range m.others {
		list = append(list, member)
	}
	return list
}

// Replace implements follow.Reader.
func (m *Members) Replace(records []port.KeyedRecord) bool {
	m.mu.Lock()
	named := make(map[string]bool, len(records))
	for _, record := range records {
		named[record.Key] = true
		m.put(record)
	}
	for name := range m.others {
		if !named[name] {
			delete(m.others, name)
		}
	}
	m.mu.Unlock()
	return true
}

// Add implements follow.Reader.
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
	member.Name, member.changed = record.Key, boottime.Now()
	m.others[record.Key] = member
}

// Proven implements follow.Reader: entries that were not renewed for long lapse.
func (m *Members) Proven(time.Duration) {
	now, lapse := boottime.Now(), m.slowed(Lapse)
	m.mu.Lock()
	for name, member := range m.others {
		if m.lost {
			// Nobody could renew an entry while the store was away.
			member.changed = now
			m.others[name] = member
		}
		if now-member.changed > lapse {
			delete(m.others, name)
			m.logger.Info("instance gone", zap.String("peer", name), zap.Duration("silent", now-member.changed))
		}
	}
	m.lost = false
	list := m.list()
	m.mu.Unlock()
	m.changed(list)
}

// Lost implements follow.Reader.
func (m *Members) Lost() {
	m.mu.Lock()
	m.lost = true
	m.mu.Unlock()
}
