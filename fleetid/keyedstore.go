package fleetid

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/port"
)

// idKey is the key under which the fleet's id stands in its topic.
const idKey = "id"

// KeyedStore keeps a fleet's id in a store of keyed topics.
type KeyedStore struct {
	log port.KeyedLog
}

// NewKeyedStore returns the store of a keyed log.
func NewKeyedStore(log port.KeyedLog) *KeyedStore { return &KeyedStore{log} }

// Load implements Store. Instances that start together propose an id each; the one that
// gets the topic's next offset keeps it, and the others read it.
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
		return 0, oops.In("fleetid").Wrap(errors.Join(errNotKept, putErr))
	}
	return id, nil
}

var errNotKept = errors.New("the id proposed for the fleet is not kept")

// read returns the id, 0 if there is none, and the topic's end.
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
