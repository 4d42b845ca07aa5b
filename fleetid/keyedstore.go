package fleetid

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/boottime"
	"github.com/cairnworks/cairnworks/port"
)

// Keys of the topic.
const (
	// idKey is the key of the fleet ID.
	idKey = "id"
	// foundedKey is the key of the era of the store in which the ID was generated.
	foundedKey = "founded"
)

// KeyedStore stores a fleet ID in a keyed log. The log may come back from a copy that lacks the ID: whoever knows it
// writes it again.
type KeyedStore struct {
	log port.KeyedLog
	// foundAfter is the time for which the ID must be missing before a new one is generated.
	foundAfter time.Duration
	now        boottime.Clock

	mu sync.Mutex
	// id is the ID that this instance uses, read in era.
	id  ID
	era uint64
	// missingSince is when the ID was first found missing, if missing is set.
	missing      bool
	missingSince time.Duration
	// founded is the era in which the ID was generated, if foundedKnown is set.
	founded      uint64
	foundedKnown bool
	mayHaveLost  atomic.Bool
}

// NewKeyedStore returns a store that uses log. If the log has no ID, a new one is generated after foundAfter: in a fleet
// that has run before, others may have to write it again.
func NewKeyedStore(log port.KeyedLog, foundAfter time.Duration) *KeyedStore {
	return &KeyedStore{log: log, foundAfter: foundAfter, now: boottime.Now}
}

// MayHaveLost reports whether the store may have come back from a copy since the ID was generated, in which case other
// instances may know more than it has. It must be called after Load.
func (s *KeyedStore) MayHaveLost() bool { return s.mayHaveLost.Load() }

// use records the ID that this instance uses, as it was read at a position.
func (s *KeyedStore) use(id ID, position uint64) {
	s.id, s.era, s.missing = id, port.EraOf(position), false
	s.mayHaveLost.Store(s.era > 0 && (!s.foundedKnown || s.era > s.founded))
}

// Load implements Store. Instances that start concurrently each propose an ID at the topic's next
// offset. One write succeeds, and the other instances read its ID.
func (s *KeyedStore) Load(ctx context.Context) (ID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, next, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	proposed, founding := s.propose(id, next)
	if proposed == 0 {
		return 0, oops.In("fleetid").Wrap(errNoID)
	}
	if proposed == id {
		s.use(id, next)
		return id, nil
	}
	putErr := s.log.PutAt(ctx, port.TopicFleet, next, idKey, []byte(proposed.String()))
	if id, next, err = s.read(ctx); err != nil {
		return 0, err
	}
	if id == 0 || s.id != 0 && id != s.id {
		return 0, oops.In("fleetid").Wrap(errors.Join(errNotStored, putErr))
	}
	if founding && id == proposed {
		s.founded, s.foundedKnown = port.EraOf(next), true
	}
	s.use(id, next)
	if id == proposed && s.foundedKnown {
		// Without this record, instances that start later ask the others for what the store may have lost.
		_ = s.log.Put(ctx, port.TopicFleet, foundedKey, []byte(strconv.FormatUint(s.founded, 10)))
	}
	return id, nil
}

// propose returns the ID that the topic should have, or 0 if that is not known yet. founding is set if it is a new one.
func (s *KeyedStore) propose(id ID, next uint64) (proposed ID, founding bool) {
	lost := s.id != 0 && (id == 0 || port.EraOf(next) > s.era)
	switch {
	case lost:
		return s.id, false
	case id != 0:
		return id, false
	}
	if !s.missing {
		s.missing, s.missingSince = true, s.now()
	}
	if s.now()-s.missingSince < s.foundAfter {
		return 0, false
	}
	return NewID(), true
}

var (
	errNotStored = errors.New("the proposed fleet ID was not stored")
	errNoID      = errors.New("the store has no fleet ID; waiting for an instance that knows it")
)

// read returns the stored ID, or 0 if there is none, and the end of the topic.
func (s *KeyedStore) read(ctx context.Context) (id ID, next uint64, err error) {
	records, next, err := s.log.Newest(ctx, port.TopicFleet)
	if err != nil {
		return 0, 0, oops.In("fleetid").Wrap(err)
	}
	for _, r := range records {
		switch {
		case r.Value == nil:
		case r.Key == idKey:
			if id, err = ParseID(string(r.Value)); err != nil {
				return 0, 0, oops.In("fleetid").With("value", string(r.Value)).Wrap(err)
			}
		case r.Key == foundedKey:
			if founded, err := strconv.ParseUint(string(r.Value), 10, 64); err == nil {
				s.founded, s.foundedKnown = founded, true
			}
		}
	}
	return id, next, nil
}
