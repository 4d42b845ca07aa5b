package config

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// initialTailRecords is the number of records before the end at which a reader starts. Each
// record states which version was current shortly before it, so the records since the last
// full set are enough. Reading all retained records would take minutes at each start of an
// instance once hundreds are published a day.
const initialTailRecords = 4

// readTail replays the stream to its end, starting as close to the end as an anchored result
// allows.
func readTail(ctx context.Context, log port.Log) (*Replay, error) {
	page, err := readPage(ctx, log, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	for back := uint64(initialTailRecords); ; back *= 4 {
		first := max(page.First, 1)
		from := first
		if page.Next > first+back {
			from = page.Next - back
		}
		replay := NewReplay(from)
		if _, err := catchUp(ctx, log, replay); err != nil {
			return nil, err
		}
		if replay.anchored || from == first {
			return replay, nil
		}
	}
}

// catchUp applies records up to the end of the stream and returns their judgements.
func catchUp(ctx context.Context, log port.Log, replay *Replay) ([]JudgedRecord, error) {
	var out []JudgedRecord
	for {
		page, err := readPage(ctx, log, replay.next, pageSize, 0)
		if err != nil {
			return out, err
		}
		judged, err := applyPage(replay, page)
		out = append(out, judged...)
		if err != nil {
			return out, err
		}
		if page.Next <= replay.next {
			return out, nil
		}
	}
}

// errGap means that records between the last one read and the first retained one have expired.
// Their content is unknown, so the reader must find a new anchor.
var errGap = oops.Errorf("records expired before they were read")

// errShortPage means that the log did not return records that exist according to the same
// response. Taking such a page for the end of the stream would activate an old version.
var errShortPage = oops.Errorf("the log returned no records although its end was not reached")

// applyPage applies the records of a page that was read from replay.next.
func applyPage(replay *Replay, page port.Page) ([]JudgedRecord, error) {
	if page.First > replay.next {
		return nil, errGap
	}
	var out []JudgedRecord
	for _, rec := range page.Records {
		if rec.Offset < replay.next {
			continue
		}
		if rec.Offset > replay.next {
			return out, errGap
		}
		out = append(out, replay.Apply(rec)...)
	}
	if len(page.Records) == 0 && page.Next > replay.next {
		return out, errShortPage
	}
	return out, nil
}

// readPage sets a timeout on one read, so that a hanging log is detected.
func readPage(ctx context.Context, log port.Log, from uint64, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	page, err := log.Read(ctx, Stream, from, limit, wait)
	if err != nil {
		return port.Page{}, oops.With("from", from).Wrapf(err, "read configuration")
	}
	return page, nil
}

// Published is the current set according to the log.
type Published struct {
	// Version is 0 when nothing has been published.
	Version uint64
	Set     object.Set
	// Known is false when no retained record states the current version.
	Known bool
}

// Latest reads the current set from the log.
func Latest(ctx context.Context, log port.Log) (Published, error) {
	replay, err := readTail(ctx, log)
	if err != nil {
		return Published{}, err
	}
	out := Published{Version: replay.version, Known: replay.anchored}
	if replay.set != nil {
		out.Set = *replay.set
	}
	return out, nil
}

// History judges every retained record of the stream.
func History(ctx context.Context, log port.Log) ([]JudgedRecord, error) {
	page, err := readPage(ctx, log, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	replay := NewReplay(max(page.First, 1))
	judged, err := catchUp(ctx, log, replay)
	for _, c := range replay.pending {
		judged = append(judged, JudgedRecord{Record: c.raw, Header: c.record.header, Judgement: Undecided})
	}
	return judged, err
}

// SetAt returns the set of a retained record. For a void record that is possible only if it
// carries a full set.
func SetAt(ctx context.Context, log port.Log, offset uint64) (object.Set, error) {
	page, err := readPage(ctx, log, offset, 1, 0)
	if err != nil {
		return object.Set{}, err
	}
	errBuilder := oops.With("offset", offset, "first", page.First, "next", page.Next)
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return object.Set{}, errBuilder.Errorf("no record is retained at this offset")
	}
	decoded, err := decodeRecord(page.Records[0].Data)
	if err != nil || decoded.header.Kind != KindChange {
		return decoded.set, err
	}
	replay := NewReplay(max(page.First, 1))
	if err := replayThrough(ctx, log, replay, offset); err != nil {
		return object.Set{}, err
	}
	if !replay.anchored || replay.version != offset {
		return object.Set{}, errBuilder.Errorf("the record is a change that was not accepted, or whose base is not retained")
	}
	return *replay.set, nil
}

// replayThrough applies the records up to and including a retained offset.
func replayThrough(ctx context.Context, log port.Log, replay *Replay, offset uint64) error {
	for replay.next <= offset {
		left := int(min(offset-replay.next+1, pageSize))
		page, err := readPage(ctx, log, replay.next, left, 0)
		if err != nil {
			return err
		}
		if _, err := applyPage(replay, page); err != nil {
			return err
		}
	}
	return nil
}
