package config

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
	"github.com/cairnworks/cairnworks/verdict"
)

// Causes of a failed publish, for errors.Is on a *PublishError.
var (
	// ErrInvalidSet means that the set has faults. Nothing was written.
	ErrInvalidSet = errors.New("the set has faults")
	// ErrStaleBase means that the base is no longer the current version. Nothing was written.
	ErrStaleBase = errors.New("the base is not the current version")
	// ErrLostRace means that another publish on the same base came first. The record, if it
	// was written, is void for every reader.
	ErrLostRace = errors.New("another publish on the same base came first")
	// ErrNotPublished means that the log could not be used. Nothing was written.
	ErrNotPublished = errors.New("the log is unavailable, nothing was published")
	// ErrOutcomeUnknown means that the append was not acknowledged and the record was not
	// found. It may still appear. Publishing again on the same base is safe: at most one of
	// the two records can be accepted.
	ErrOutcomeUnknown = errors.New("the outcome is unknown, the record may still appear")
	// ErrUnanchored means that no retained record states the current version. Nothing was
	// written.
	ErrUnanchored = errors.New("no retained record states the current version")
)

// PublishError is the error type of Publisher.
type PublishError struct {
	// Cause is one of the errors above.
	Cause error
	// Base is the version the publish was made from; Current is the last known current
	// version.
	Base, Current uint64
	// RecordID identifies the record in the log, if one may have been written.
	RecordID string
	// Faults are set with ErrInvalidSet.
	Faults []object.Fault
	// Err is the underlying error, if any.
	Err error
}

func (e *PublishError) Error() string {
	msg := fmt.Sprintf("%s (base %d, current %d)", e.Cause, e.Base, e.Current)
	if e.RecordID != "" {
		msg += ", record " + e.RecordID
	}
	if len(e.Faults) > 0 {
		msg += fmt.Sprintf(", %d faults, first: %s", len(e.Faults), e.Faults[0])
	}
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	return msg
}

func (e *PublishError) Unwrap() []error { return []error{e.Cause, e.Err} }

// Publisher appends object sets to the log. It is safe for concurrent use.
type Publisher struct {
	log port.Log
	// newID returns a unique record ID.
	newID func() string
}

// NewPublisher returns a publisher that appends to log.
func NewPublisher(log port.Log) *Publisher {
	return &Publisher{log: log, newID: func() string { return "config-" + rand.Text() }}
}

// Publish makes the set the successor of version base and returns the new version. Its errors
// are of type *PublishError.
func (p *Publisher) Publish(ctx context.Context, set object.Set, base uint64, note string) (uint64, error) {
	return p.publish(ctx, set, Header{Format: recordFormat, Kind: KindPublish, Base: base, Note: note})
}

// Restart publishes a set when no retained record states the current version, and fails with
// ErrStaleBase otherwise. It is needed if all records expired while no instance was running to
// republish.
func (p *Publisher) Restart(ctx context.Context, set object.Set, note string) (uint64, error) {
	return p.publish(ctx, set, Header{Format: recordFormat, Kind: KindRestart, Note: note})
}

func (p *Publisher) publish(ctx context.Context, set object.Set, h Header) (uint64, error) {
	publishErr := &PublishError{Base: h.Base}
	if publishErr.Faults = object.Check(set); len(publishErr.Faults) > 0 {
		return 0, publishErr.withCause(ErrInvalidSet, nil)
	}
	replay, err := readTail(ctx, p.log)
	if err != nil {
		return 0, publishErr.withCause(ErrNotPublished, err)
	}
	publishErr.Current = replay.version
	if err := checkBase(h, replay); err != nil {
		return 0, publishErr.withCause(err, nil)
	}
	h.Through = replay.next - 1
	data, err := encodePublish(h, set, replay)
	if err != nil {
		return 0, publishErr.withCause(ErrNotPublished, err)
	}
	return p.appendAndConfirm(ctx, replay, port.Entry{ID: p.newID(), Data: data}, publishErr)
}

func (e *PublishError) withCause(cause, err error) error {
	e.Cause = cause
	e.Err = err
	return e
}

// checkBase rejects a publish whose record would be void before it is written.
func checkBase(h Header, replay *Replay) error {
	switch {
	case h.Kind == KindRestart && replay.anchored:
		return ErrStaleBase
	case h.Kind == KindRestart:
		return nil
	case !replay.anchored:
		return ErrUnanchored
	case h.Base != replay.version:
		return ErrStaleBase
	default:
		return nil
	}
}

// encodePublish returns the record of a publish. It is a change if that is much smaller than
// the full set, and if the last full set is neither too many changes nor too long ago.
func encodePublish(h Header, set object.Set, replay *Replay) ([]byte, error) {
	full, err := compress(set)
	if err != nil || h.Kind != KindPublish || needsFullSet(replay) {
		return encodeFullSet(err, h, full)
	}
	edit := object.EditBetween(*replay.set, set)
	payload, err := compress(change{Edit: edit, Sum: setChecksum(edit.Apply(*replay.set))})
	if err != nil || len(payload) > len(full)/2 {
		return encodeFullSet(err, h, full)
	}
	h.Kind = KindChange
	return encodeRecord(h, payload)
}

// needsFullSet relies on the log's clock, which may be wrong. Full sets are then written too
// often or too rarely; republishing makes up for the latter.
func needsFullSet(replay *Replay) bool {
	return replay.set == nil || replay.changes >= maxChangesPerFullSet || time.Since(replay.fullRecord.Appended) > maxFullSetAge
}

func encodeFullSet(err error, h Header, payload []byte) ([]byte, error) {
	if err != nil {
		return nil, err
	}
	return encodeRecord(h, payload)
}

// appendAndConfirm appends the record once and reads the stream to determine the outcome,
// whether or not the append was acknowledged.
func (p *Publisher) appendAndConfirm(ctx context.Context, replay *Replay, entry port.Entry, publishErr *PublishError) (uint64, error) {
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	_, appendErr := p.log.Append(appendCtx, Stream, entry)
	cancel()
	if appendErr != nil && verdict.From(appendErr).Ran == verdict.NotRun {
		return 0, publishErr.withCause(ErrNotPublished, appendErr)
	}
	publishErr.RecordID = entry.ID
	version, err := p.confirm(ctx, replay, entry.ID, publishErr)
	if err != nil && appendErr != nil && publishErr.Err == nil {
		publishErr.Err = appendErr
	}
	return version, err
}

// confirm looks for the record by its ID. An append whose response was lost must not be
// repeated: the operator could be told that the publish lost a race against its own first
// record, or that it succeeded while that first record was accepted later.
func (p *Publisher) confirm(ctx context.Context, replay *Replay, id string, publishErr *PublishError) (uint64, error) {
	var lastErr error
	for end := time.Now().Add(confirmTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		page, err := readPage(ctx, p.log, replay.next, pageSize, confirmPoll)
		var judged []JudgedRecord
		if err == nil {
			judged, err = applyPage(replay, page)
		}
		if lastErr = err; err != nil {
			sleep(ctx, confirmPoll)
		}
		publishErr.Current = replay.version
		if done, version, err := findOutcome(judged, id, publishErr); done {
			return version, err
		}
	}
	return 0, publishErr.withCause(ErrOutcomeUnknown, errors.Join(lastErr, ctx.Err()))
}

// findOutcome searches judged records for the publisher's own. Another record accepted on the
// same base decides the outcome too: the own record can only be void, even if it arrives
// later.
func findOutcome(judged []JudgedRecord, id string, publishErr *PublishError) (done bool, version uint64, err error) {
	for _, j := range judged {
		isOwn := j.Record.ID == id
		switch {
		case isOwn && j.Judgement == Accepted:
			return true, j.Record.Offset, nil
		case isOwn, j.Judgement == Accepted:
			return true, 0, publishErr.withCause(ErrLostRace, nil)
		}
	}
	return false, 0, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
