package fleetid

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/port"
)

// idKey is the key of the fleet ID in its topic.
const idKey = "id"

// KeyedStore stores a fleet ID in a keyed log.
type KeyedStore struct {
	log port.KeyedLog
}

// NewKeyedStore returns a store that uses log.
func NewKeyedStore(log port.KeyedLog) *KeyedStore { return &KeyedStore{log} }

// Load implements Store. Instances that start concurrently each propose an ID at the topic's next
// offset. One write succeeds, and the other instances read its ID.
func (s *KeyedStore) Load(ctx context.Context) (ID, error) {
	id, next, err := s.read(ctx)
	if err != nil || id != 0 {
		return id, err
	}
	putErr := s.log.PutAt(ctx, port.TopicFleet, next, idKey, []byte(NewID().String()))
	if id, _, err = s.read(ctx); err != nil {
		return 0, err
	}
	if id == 0 {
		return 0, oops.In("fleetid").Wrap(errors.Join(errNotStored, putErr))
	}
	return id, nil
}

var errNotStored = errors.New("the proposed fleet ID was not stored")

// read returns the stored ID, or 0 if there is none, and the end offset of the topic.
func (s *KeyedStore) read(ctx context.Context) (ID, uint64, error) {
	records, next, err := s.log.Newest(ctx, port.TopicFleet)
	if err != nil {
		return 0, 0, oops.In("fleetid").Wrap(err)
	}
	for _, r := range records {
		if r.Key != idKey || r.Value == nil {
			continue
		}
		id, err := ParseID(string(r.Value))
		if err != nil {
			return 0, 0, oops.In("fleetid").With("value", string(r.Value)).Wrap(err)
		}
		return id, next, nil
	}
	return 0, next, nil
}
