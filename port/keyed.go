package port

import (
	"context"
	"errors"
	"time"
)

// Topic is a keyed topic in the platform's store.
type Topic uint8

const (
	// TopicConfiguration holds the operators' configuration. It is read-only.
	TopicConfiguration Topic = iota
	// TopicUpstreams holds the upstreams' reports of themselves. It is read-only.
	TopicUpstreams
	// TopicInstances holds the registered instances.
	TopicInstances
	// TopicRoles holds, per service, which instance may give orders to its engines.
	TopicRoles
	// TopicFleet holds the fleet id, by which instances recognise the members of their
	// own fleet.
	TopicFleet
	// TopicQuarantines holds the requests and the parts of prompts that are refused because upstreams crashed.
	TopicQuarantines
)

// String returns the name used in logs and metrics.
func (t Topic) String() string {
	return [...]string{"configuration", "upstreams", "instances", "roles", "fleet", "quarantines"}[t]
}

// KeyedRecord is a record of a keyed topic. Of several records with the same key,
// the newest is in effect.
type KeyedRecord struct {
	Key string
	// Value is nil if the key was deleted.
	Value []byte
	// Offset is the record's position; see Position.
	Offset uint64
}

// Size returns the number of bytes of the key and the value.
func (r KeyedRecord) Size() int { return len(r.Key) + len(r.Value) }

// ErrCompacted is returned if the requested records have been compacted away. The
// caller must read the newest record of each key instead.
var ErrCompacted = errors.New("requested records have been compacted")

// ErrConflict is returned if a conditional write was refused because the topic has
// other records at or after the expected offset.
var ErrConflict = errors.New("topic has advanced past the expected offset")

// KeyedLog is the platform's store of keyed topics. Responses are linearizable within an
// era of the store. A call that fails without a response may have been executed, or may
// still be executed seconds later.
type KeyedLog interface {
	// Newest returns the newest record of each key, and the position from which Since
	// continues without a gap.
	Newest(ctx context.Context, topic Topic) (records []KeyedRecord, next uint64, err error)
	// Since returns the records starting at position from, waiting up to wait for one,
	// and the position to continue from. It returns ErrNewEra if from is of another era.
	Since(ctx context.Context, topic Topic, from uint64, wait time.Duration) (records []KeyedRecord, next uint64, err error)
	// Put writes a record; a nil value deletes the key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// PutAt writes a record only if it would be stored at position at, and otherwise
	// returns ErrConflict, or ErrNewEra if at is of another era.
	PutAt(ctx context.Context, topic Topic, at uint64, key string, value []byte) error
}
