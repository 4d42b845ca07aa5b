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

// Stream is the log stream that keeps the fleet's id.
const Stream = "fleet"

const (
	// renewalsKept is how many records of the id a log's retention holds: some may fail.
	renewalsKept = 4
	// maxRenewal bounds the time between two records of the id, for logs that keep records
	// for less than the settings say.
	maxRenewal = 20 * time.Minute
	// readMax bounds one read in records.
	readMax = 256
)

// record is an entry of the stream.
//
// Base is the end of the stream that its writer had read. A record is valid if it stands just
// there, so that nothing came between. Of several instances that find the stream empty at the
// same time one is first, and the others' records are void to every reader, also to one that
// finds the first record expired. A valid record's writer had read the one before it and
// repeated its id, so that all valid records of a stream name the same one as long as one of
// them is kept.
type record struct {
	ID   ID     `json:"id"`
	Base uint64 `json:"base"`
}

// LogStore keeps a fleet's id in an append-only log, whose records expire: the id is written
// anew before they do.
type LogStore struct {
	log port.Log
	// renewal is the age of the newest record from which the id is written anew.
	renewal time.Duration
	now     func() time.Time

	mu sync.Mutex
	// newest is the offset of the newest valid record, and since when it is known.
	newest uint64
	since  time.Time
}

// NewLogStore returns the store of a log that keeps records for retention.
func NewLogStore(log port.Log, retention time.Duration) *LogStore {
	return &LogStore{log: log, renewal: min(retention/renewalsKept, maxRenewal), now: time.Now}
}

// Interval is the time between two reads within which the id is written anew in time.
func (s *LogStore) Interval() time.Duration { return s.renewal / 2 }

// Load implements Store.
func (s *LogStore) Load(ctx context.Context) (ID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, err := s.read(ctx)
	if err != nil {
		return 0, err
	}
	if kept.id != 0 && !s.expiring(kept.newest) {
		return kept.id, nil
	}
	id := kept.id
	if id == 0 {
		id = NewID()
	}
	// An append whose answer is lost may stand in the log; the read that follows tells.
	appendErr := s.append(ctx, record{ID: id, Base: kept.end})
	if kept, err = s.read(ctx); err != nil {
		return 0, err
	}
	if kept.id == 0 {
		return 0, oops.In("fleetid").Wrap(appendErr)
	}
	s.expiring(kept.newest)
	return kept.id, nil
}

// expiring notes the newest valid record and reports whether another one is due.
func (s *LogStore) expiring(newest uint64) bool {
	if newest != s.newest {
		s.newest, s.since = newest, s.now()
	}
	return s.now().Sub(s.since) >= s.renewal
}

func (s *LogStore) append(ctx context.Context, r record) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, Stream, port.Entry{ID: ulid.Make().String(), Data: data})
	return err
}

// contents is what a read of the whole stream found.
type contents struct {
	// id is that of the first valid record, 0 if there is none; newest is the offset of
	// the last valid one.
	id     ID
	newest uint64
	// end is the offset after the last record.
	end uint64
}

func (s *LogStore) read(ctx context.Context) (contents, error) {
	var found contents
	for from := uint64(0); ; {
		page, err := s.log.Read(ctx, Stream, from, readMax, 0)
		if err != nil {
			return contents{}, oops.In("fleetid").Wrap(err)
		}
		for _, r := range page.Records {
			found.take(r)
			from = r.Offset + 1
		}
		found.end = page.Next
		if len(page.Records) == 0 || from >= page.Next {
			return found, nil
		}
	}
}

// take takes in one record; what is no valid record is passed over.
func (c *contents) take(r port.Record) {
	var read record
	if err := json.Unmarshal(r.Data, &read); err != nil || read.ID == 0 || read.Base != r.Offset {
		return
	}
	if c.id == 0 {
		c.id = read.ID
	}
	c.newest = r.Offset
}
