package fleetid

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/port"
)

// Stream is the log stream that stores the fleet ID.
const Stream = "fleet"

const (
	// renewalsPerRetention is the number of ID records written per log retention period. It is
	// more than one because appends may fail.
	renewalsPerRetention = 4
	// maxRenewalAge is the maximum of the renewal age, in case the log's retention is shorter
	// than the settings say.
	maxRenewalAge = 20 * time.Minute
	// pageSize is the maximum number of records per read.
	pageSize = 256
)

// record is an entry of the stream.
//
// Base is the end offset of the stream that the writer had read. A record is valid if its own
// offset equals Base, that is, if no other record was appended in between. If several instances
// find the stream empty at the same time, one record comes first, and the others are invalid to
// every reader, even after the first record has expired. The writer of a valid record had read
// the previous valid record and repeated its ID, so all valid records of a stream have the same
// ID as long as at least one of them is retained.
type record struct {
	ID   ID     `json:"id"`
	Base uint64 `json:"base"`
}

// LogStore stores a fleet ID in an append-only log whose records expire. It rewrites the ID
// before the newest record expires.
type LogStore struct {
	log port.Log
	// renewalAge is the age of the newest valid record at which the ID is written again.
	renewalAge time.Duration
	now        func() time.Time

	mu sync.Mutex
	// newest is the offset of the newest valid record; since is when this store first read it.
	newest uint64
	since  time.Time
}

// NewLogStore returns a store that uses a log with the given retention.
func NewLogStore(log port.Log, retention time.Duration) *LogStore {
	return &LogStore{log: log, renewalAge: min(retention/renewalsPerRetention, maxRenewalAge), now: time.Now}
}

// Interval returns how often to call Load so that the ID is rewritten before it expires.
func (s *LogStore) Interval() time.Duration { return s.renewalAge / 2 }

// Load implements Store.
func (s *LogStore) Load(ctx context.Context) (ID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if found.id != 0 && !s.renewalDue(found.newest) {
		return found.id, nil
	}
	id := found.id
	if id == 0 {
		id = NewID()
	}
	// An append may have succeeded although its reply was lost; the following read shows it.
	appendErr := s.append(ctx, record{ID: id, Base: found.end})
	if found, err = s.read(ctx); err != nil {
		return 0, err
	}
	if found.id == 0 {
		return 0, oops.In("fleetid").Wrap(appendErr)
	}
	s.renewalDue(found.newest)
	return found.id, nil
}

// renewalDue records the offset of the newest valid record and reports whether to write a new one.
func (s *LogStore) renewalDue(newest uint64) bool {
	if newest != s.newest {
		s.newest, s.since = newest, s.now()
	}
	return s.now().Sub(s.since) >= s.renewalAge
}

func (s *LogStore) append(ctx context.Context, r record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, Stream, port.Entry{ID: ulid.Make().String(), Data: data})
	return err
}

// scanResult is the result of reading the whole stream.
type scanResult struct {
	// id is the ID of the first valid record, or 0 if there is none; newest is the offset of
	// the last valid record.
	id     ID
	newest uint64
	// end is the offset after the last record.
	end uint64
}

func (s *LogStore) read(ctx context.Context) (scanResult, error) {
	var found scanResult
	for from := uint64(0); ; {
		page, err := s.log.Read(ctx, Stream, from, pageSize, 0)
		if err != nil {
			return scanResult{}, oops.In("fleetid").Wrap(err)
		}
		for _, r := range page.Records {
			found.add(r)
			from = r.Offset + 1
		}
		found.end = page.Next
		if len(page.Records) == 0 || from >= page.Next {
			return found, nil
		}
	}
}

// add processes one record. It ignores invalid records.
func (c *scanResult) add(r port.Record) {
	var rec record
	if err := json.Unmarshal(r.Data, &rec); err != nil || rec.ID == 0 || rec.Base != r.Offset {
		return
	}
	if c.id == 0 {
		c.id = rec.ID
	}
	c.newest = r.Offset
}
