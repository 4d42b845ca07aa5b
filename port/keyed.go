package port

import (
	"context"
	"errors"
	"time"
)

// Topic is one of the keyed topics that the system reads or writes in the
// platform's store.
type Topic uint8

const (
	// TopicConfiguration holds the operators' configuration. Read only.
	TopicConfiguration Topic = iota
	// TopicUpstreams holds what upstreams say of themselves. Read only.
	TopicUpstreams
	// TopicInstances holds which instances there are.
	TopicInstances
	// TopicRoles holds who may give orders to the engines of a service.
	TopicRoles
	// TopicFleet holds the id by which instances know those of their fleet.
	TopicFleet
)

// String returns the name used in logs and metrics.
func (t Topic) String() string {
	return [...]string{"configuration", "upstreams", "instances", "roles", "fleet"}[t]
}

// KeyedRecord is one record of a keyed topic. Of several with one key the newest
// holds.
type KeyedRecord struct {
	Key string
	// Value is nil where the key was dropped.
	Value  []byte
	Offset uint64
}

// ErrCompacted means that the records asked for are no longer kept: the newest of
// each key are to be read instead.
var ErrCompacted = errors.New("records no longer kept")

// ErrConflict means that a conditional write was refused, since the topic had gone
// on.
var ErrConflict = errors.New("topic has gone on")

// KeyedLog is the platform's store of keyed topics. Its answers are linearizable;
// a call without an answer may have been carried out, or may be seconds later.
type KeyedLog interface {
	// Newest returns the newest record of each key, and the offset from which Since
	// goes on without a gap.
	Newest(ctx context.Context, topic Topic) (records []KeyedRecord, next uint64, err error)
	// Since returns the records from an offset on, waiting up to wait for one, and
	// the offset to go on from.
	Since(ctx context.Context, topic Topic, from uint64, wait time.Duration) (records []KeyedRecord, next uint64, err error)
	// Put writes a record; a nil value drops the key.
	Put(ctx context.Context, topic Topic, key string, value []byte) error
	// PutAt writes a record if it gets the offset named, else it fails with
	// ErrConflict.
	PutAt(ctx context.Context, topic Topic, at uint64, key string, value []byte) error
}
