package config

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// tailStart is how many records before the end a reader begins. Each record
// states what was in force shortly before it, so that those since the last whole
// set are enough; reading everything retained would take minutes at each start of
// an instance once hundreds are published a day.
const tailStart = 4

// readTail replays the stream to its end, beginning as late as the result allows.
func readTail(ctx context.Context, log port.Log) (*Replay, error) {
	page, err := readPage(ctx, log, 1, 1, 0)
	if err != nil {
		return nil, err
	}
	for back := uint64(tailStart); ; back *= 4 {
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

// catchUp applies records until the end of the stream and returns what was judged.
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

// errGap means that records between the last read one and the first retained one
// are gone. What they said is unknown, so that the reader must find a new anchor.
var errGap = oops.Errorf("records fell out of retention before they were read")

// errShortPage means that the log withheld records that it says exist. Taking such
// a page for the end of the stream would put an old version in force.
var errShortPage = oops.Errorf("the log returned no records before its end")

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

// readPage bounds one read, so that a log that hangs is noticed.
func readPage(ctx context.Context, log port.Log, from uint64, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	page, err := log.Read(ctx, Stream, from, limit, wait)
	if err != nil {
		return port.Page{}, oops.With("from", from).Wrapf(err, "read configuration")
	}
	return page, nil
}

// Published is the set in force as the log has it.
type Published struct {
	// Version is 0 when nothing has been published.
	Version uint64
	Set     object.Set
	// Known is false when no retained record tells what is in force.
	Known bool
}

// Latest reads the set in force from the log.
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

// SetAt returns the set that a retained record stands for. Of a void record that
// is known only if it carries the set whole.
func SetAt(ctx context.Context, log port.Log, offset uint64) (object.Set, error) {
	page, err := readPage(ctx, log, offset, 1, 0)
	if err != nil {
		return object.Set{}, err
	}
	fail := oops.With("offset", offset, "first", page.First, "next", page.Next)
	if len(page.Records) == 0 || page.Records[0].Offset != offset {
		return object.Set{}, fail.Errorf("no record is retained at this offset")
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
		return object.Set{}, fail.Errorf("the record is a change that was not accepted, or whose base is not retained")
	}
	return *replay.set, nil
}

// replayThrough applies the records up to an offset that is retained.
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
